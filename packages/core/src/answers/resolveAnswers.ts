import {
    defaultColdStartMs,
    defaultDeadlineMs,
    defaultDrainSeconds,
    defaultLimits,
    defaultMaxBodyBytes,
    defaultRouteAttempts,
    defaultShare,
} from "../constants.js";
import type {
    Answers,
    OperationAnswers,
    ResolvedAnswers,
    ResolvedServiceAnswers,
    RouteAnswers,
    ServiceAnswers,
} from "./answers.js";

/**
 * Fills in every default of checked answers.
 *
 * @example
 * ```ts
 * const resolved = resolveAnswers({ deployment: "demo", services: {}, callers: {} });
 * ```
 */
export function resolveAnswers(answers: Answers): ResolvedAnswers {
    return {
        deployment: answers.deployment,
        partners: mapValues(answers.partners ?? {}, partner => ({ share: partner.share ?? defaultShare })),
        services: mapValues(answers.services, resolveService),
        callers: answers.callers,
        routes: mapValues(answers.routes ?? {}, resolveRoute),
        limits: answers.limits === undefined ? undefined : { ...defaultLimits, ...answers.limits },
    };
}

function resolveRoute(route: RouteAnswers): Required<RouteAnswers> {
    const timeoutMs = route.timeoutMs ?? defaultDeadlineMs;
    return {
        ...route,
        timeoutMs,
        maxAttempts: route.maxAttempts ?? defaultRouteAttempts,
        latencyObjectiveMs: route.latencyObjectiveMs ?? timeoutMs,
        priority: route.priority ?? 0,
    };
}

function resolveService(service: ServiceAnswers): ResolvedServiceAnswers {
    return {
        ...service,
        drainSeconds: service.drainSeconds ?? defaultDrainSeconds,
        coldStartMs: service.coldStartMs ?? defaultColdStartMs,
        operations: service.operations.map(resolveOperation),
    };
}

function resolveOperation(operation: OperationAnswers): Required<OperationAnswers> {
    return {
        ...operation,
        deadlineMs: operation.deadlineMs ?? defaultDeadlineMs,
        maxBodyBytes: operation.maxBodyBytes ?? defaultMaxBodyBytes,
    };
}

function mapValues<A, B>(record: Readonly<Record<string, A>>, transform: (value: A) => B): Record<string, B> {
    return Object.fromEntries(Object.entries(record).map(([key, value]) => [key, transform(value)]));
}
