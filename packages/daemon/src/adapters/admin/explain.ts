import {
    matchPath,
    problem,
    ProblemCode,
    ReadinessState,
    ResourceKind,
    resourceName,
    suggest,
    type Caller,
    type Operation,
    type Problem,
    type Resource,
    type Route,
} from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import type { Board } from "../../board.js";
import { describeTargets, type TargetTier } from "./explainTargets.js";

interface CallQuery {
    readonly service: string;
    readonly caller: string;
    readonly method: string;
    readonly path: string;
}

interface Finding {
    readonly step: string;
    readonly holds: boolean;
    readonly detail: string;
}

export interface Explanation {
    readonly question: CallQuery;
    /** Whether this host is ready, the configuration allows the call and at least one host offers the service. */
    readonly carried: boolean;
    readonly version: number;
    readonly findings: readonly Finding[];
    readonly operation: Operation | undefined;
    readonly targets: readonly TargetTier[];
}

interface CheckInput {
    readonly board: Board;
    readonly question: CallQuery;
    readonly route: Route | undefined;
    readonly operation: Operation | undefined;
    readonly targets: readonly TargetTier[];
}

/** Explains whether this host would accept a call, which hosts it could go to, and otherwise why not. */
export function explain(board: Board, query: URLSearchParams): Either<Problem, Explanation> {
    return parseQuery(query).map(question => {
        const route = findResource(board, ResourceKind.Route, question.service) as Route | undefined;
        const operation = route?.operations.find(
            ({ method, path }) => method === question.method && matchPath(path, question.path),
        );
        const targets = describeTargets(board, question.service);
        const input = { board, question, route, operation, targets };
        const findings = checks.map(({ step, check }) => ({ step, ...check(input) }));
        const carried = findings.every(finding => finding.holds);
        const version = board.read("configuration").held?.manifest.version ?? 0;
        return { question, carried, version, findings, operation, targets };
    });
}

function parseQuery(query: URLSearchParams): Either<Problem, CallQuery> {
    const read = (name: string) => query.get(name) ?? "";
    const question = {
        service: read("service"),
        caller: read("caller"),
        method: (query.get("method") ?? "GET").toUpperCase(),
        path: query.get("path") ?? "/",
    };
    if (question.service !== "" && question.caller !== "" && question.path.startsWith("/")) {
        return Right(question);
    }
    const message = "the query needs a service, a caller and a path that starts with /";
    const nextStep = "for example /v1/explain?service=orders&caller=crews&method=GET&path=/orders/7";
    return Left(problem(ProblemCode.Unreadable, message, { where: "query", nextStep }));
}

type Check = (input: CheckInput) => Omit<Finding, "step">;

/** The checks that a call must pass, in order. */
const checks: readonly { readonly step: string; readonly check: Check }[] = [
    { step: "readiness", check: checkReadiness },
    { step: "route", check: checkRoute },
    { step: "operation", check: checkOperation },
    { step: "caller", check: checkCaller },
    { step: "targets", check: checkTargets },
];

function checkReadiness({ board }: CheckInput): Omit<Finding, "step"> {
    const { state, reason } = board.read("readiness");
    return { holds: state === ReadinessState.Ready, detail: `this host is ${state}: ${reason}` };
}

function checkRoute({ board, question, route }: CheckInput): Omit<Finding, "step"> {
    if (route !== undefined) {
        return {
            holds: true,
            detail: `service "${question.service}" has ${route.operations.length} operations`,
        };
    }
    const closest = suggest(question.service, listResourceNames(board, ResourceKind.Route));
    const hint = closest === undefined ? "" : `; did you mean "${closest}"?`;
    return { holds: false, detail: `this host has no route to service "${question.service}"${hint}` };
}

function checkOperation({ question, route, operation }: CheckInput): Omit<Finding, "step"> {
    const call = `${question.method} ${question.path}`;
    if (operation !== undefined) {
        const repeatable = operation.repeatable ? "repeatable" : "not repeatable";
        const detail = `${call} matches operation "${operation.name}" (${operation.path}, ${repeatable}, deadline ${operation.deadlineMs} ms)`;
        return { holds: true, detail };
    }
    const knownOperations = (route?.operations ?? [])
        .map(({ method, path }) => `${method} ${path}`)
        .join(", ");
    return {
        holds: false,
        detail: `${call} matches no operation; known operations: ${knownOperations || "none"}`,
    };
}

function checkCaller({ board, question, route }: CheckInput): Omit<Finding, "step"> {
    const name = resourceName(ResourceKind.Caller, question.caller);
    if (route?.callers.includes(name) === true) {
        const caller = findResource(board, ResourceKind.Caller, question.caller) as Caller | undefined;
        return {
            holds: true,
            detail: `caller "${question.caller}" may call it, as ${caller?.partner ?? "internal"}`,
        };
    }
    const closest = suggest(question.caller, listResourceNames(board, ResourceKind.Caller));
    const hint = closest === undefined || closest === question.caller ? "" : `; did you mean "${closest}"?`;
    return { holds: false, detail: `caller "${question.caller}" may not call "${question.service}"${hint}` };
}

function checkTargets({ question, targets }: CheckInput): Omit<Finding, "step"> {
    const preferredTier = targets.find(tier => tier.hosts.length > 0);
    return preferredTier === undefined
        ? { holds: false, detail: `no known host offers service "${question.service}"` }
        : {
              holds: true,
              detail: `${preferredTier.hosts.length} hosts in tier "${preferredTier.tier}" are tried first`,
          };
}

function findResource(board: Board, kind: ResourceKind, name: string): Resource | undefined {
    return board.read("configuration").held?.resources.get(resourceName(kind, name));
}

function listResourceNames(board: Board, kind: ResourceKind): readonly string[] {
    const resources = [...(board.read("configuration").held?.resources.values() ?? [])];
    return resources.filter(resource => resource.kind === kind).map(resource => resource.name);
}
