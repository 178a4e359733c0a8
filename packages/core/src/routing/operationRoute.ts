import { Left, Right, type Either } from "purify-ts/Either";
import { maxRetriesPerCall } from "../calls/retry.js";
import { refusal, RefusalReason, type Refusal } from "../calls/refusal.js";
import {
    ResourceKind,
    resourceName,
    type Caller,
    type Operation,
    type Partner,
    type Resource,
    type ResourceName,
    type Route,
    type Service,
} from "../configuration/resource.js";

/** Whether a path matches a pattern. `*` matches one non-empty segment, a final `**` any number of segments. */
export function matchPath(pattern: string, path: string): boolean {
    const patternSegments = pattern.split("/");
    const pathSegments = path.split("/");
    const matchesAnyRest = patternSegments.at(-1) === "**";
    const fixedSegments = matchesAnyRest ? patternSegments.slice(0, -1) : patternSegments;
    if (
        matchesAnyRest
            ? pathSegments.length < fixedSegments.length
            : pathSegments.length !== fixedSegments.length
    ) {
        return false;
    }
    return fixedSegments.every(
        (segment, i) => segment === pathSegments[i] || (segment === "*" && pathSegments[i] !== ""),
    );
}

/** What the configuration determines about a call. */
export interface MatchedCall {
    readonly service: Service;
    readonly operation: Operation;
    readonly caller: string;
    readonly partner: string;
    readonly share: number;
    /** Most backend servers that the call may be sent to. */
    readonly maxAttempts: number;
    /** Time within which a response has its full value to the caller, in milliseconds. */
    readonly latencyObjectiveMs: number;
    /** Priority of the call; 0 is the highest. */
    readonly priority: number;
}

export interface CallToMatch {
    readonly service: string;
    readonly method: string;
    /** Path below the service, without the query. */
    readonly path: string;
    readonly caller: string;
}

/** Finds the operation of the service's route that the call matches, or the reason to refuse the call. */
export function matchCall(
    resources: ReadonlyMap<ResourceName, Resource>,
    call: CallToMatch,
): Either<Refusal, MatchedCall> {
    const route = resources.get(resourceName(ResourceKind.Route, call.service)) as Route | undefined;
    const service = resources.get(route?.service ?? "") as Service | undefined;
    if (route === undefined || service === undefined) {
        return Left(refusal(RefusalReason.NoRoute));
    }
    const callerName = resourceName(ResourceKind.Caller, call.caller);
    const caller = resources.get(callerName) as Caller | undefined;
    const partner = resources.get(caller?.partner ?? "") as Partner | undefined;
    if (partner === undefined || !route.callers.includes(callerName)) {
        return Left(refusal(RefusalReason.NotAllowed));
    }
    const operation = route.operations.find(
        entry => entry.method === call.method && matchPath(entry.path, call.path),
    );
    return operation === undefined
        ? Left(refusal(RefusalReason.NoRoute))
        : Right({
              service,
              operation,
              caller: call.caller,
              partner: partner.name,
              share: partner.share,
              maxAttempts: 1 + maxRetriesPerCall,
              latencyObjectiveMs: operation.deadlineMs,
              priority: 0,
          });
}
