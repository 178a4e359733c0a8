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

/** Whether a path matches a pattern: `*` is one segment, a final `**` any rest. */
export function matchPath(pattern: string, path: string): boolean {
    const wanted = pattern.split("/");
    const given = path.split("/");
    const open = wanted.at(-1) === "**";
    const fixed = open ? wanted.slice(0, -1) : wanted;
    if (open ? given.length < fixed.length : given.length !== fixed.length) {
        return false;
    }
    return fixed.every((segment, i) => segment === given[i] || (segment === "*" && given[i] !== ""));
}

/** Everything about a call that follows from the configuration. */
export interface MatchedCall {
    readonly service: Service;
    readonly operation: Operation;
    readonly caller: string;
    readonly partner: string;
    readonly share: number;
    /** Backend servers to which the call may be sent. */
    readonly maxAttempts: number;
    /** Time within which an answer has its full worth, in milliseconds. */
    readonly latencyObjectiveMs: number;
    /** Rank of the call; 0 is the most urgent. */
    readonly priority: number;
}

export interface CallToMatch {
    readonly service: string;
    readonly method: string;
    /** Path below the service, without the query. */
    readonly path: string;
    readonly caller: string;
}

/** Matches a call with the routes that are held, or says why it may not run. */
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
