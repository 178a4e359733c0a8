import { Left, Right, type Either } from "purify-ts/Either";
import { refusal, RefusalReason, type Refusal } from "../calls/refusal.js";
import {
    callerLimitsName,
    Repetition,
    ResourceKind,
    resourceName,
    type Destination,
    type Limits,
    type PathRoute,
    type Resource,
    type ResourceName,
    type Service,
} from "../configuration/resource.js";
import { internalPartner } from "../constants.js";
import { maxDeadlineMs } from "../calls/deadline.js";
import type { MatchedCall } from "./operationRoute.js";

type Resources = ReadonlyMap<ResourceName, Resource>;

/** Routes by host name in lower case, then by prefix. */
type PathIndex = ReadonlyMap<string, ReadonlyMap<string, PathRoute>>;

/** Index of each configuration. The resources of a configuration are immutable, so entries never go stale. */
const pathIndexes = new WeakMap<Resources, PathIndex>();

export interface PathRouteCall {
    readonly hostName: string;
    /** Path without the query. */
    readonly path: string;
    readonly caller: string;
    /** Uniform in [0, 1); selects the destination by weight. */
    readonly random: number;
}

/**
 * Matches a call with the route that has the call's host name and the longest matching path prefix.
 *
 * @example
 * ```ts
 * matchPathRoute(resources, { hostName: "stock.example", path: "/items/7", caller: "orders", random: Math.random() });
 * ```
 */
export function matchPathRoute(resources: Resources, call: PathRouteCall): Either<Refusal, MatchedCall> {
    const route = findPathRoute(resources, call);
    const destination = route === undefined ? undefined : pickDestination(route.destinations, call.random);
    const service = resources.get(destination?.service ?? "") as Service | undefined;
    return route === undefined || service === undefined
        ? Left(refusal(RefusalReason.NoRoute))
        : Right(matchCached(resources, route, service, call.caller));
}

/** Matches of each configuration by route, service and caller, which alone determine the result. */
const matchCaches = new WeakMap<Resources, Map<string, MatchedCall>>();
/** Most cached matches of one configuration. A host has few callers, so the limit is rarely reached. */
const maxCachedMatches = 16_384;

function matchCached(resources: Resources, route: PathRoute, service: Service, caller: string): MatchedCall {
    const cache = matchCaches.get(resources) ?? new Map<string, MatchedCall>();
    matchCaches.set(resources, cache);
    const key = `${route.name} ${service.name} ${caller}`;
    const matched =
        cache.get(key) ?? createMatch(route, service, { caller, limits: callerLimits(resources) });
    if (cache.size < maxCachedMatches) {
        cache.set(key, matched);
    }
    return matched;
}

/** Limits on the connections of callers, if the configuration sets any. */
export function callerLimits(resources: Resources): Limits | undefined {
    return resources.get(resourceName(ResourceKind.Limits, callerLimitsName)) as Limits | undefined;
}

export function findPathRoute(
    resources: Resources,
    { hostName, path }: Pick<PathRouteCall, "hostName" | "path">,
): PathRoute | undefined {
    const routes = pathIndexOf(resources).get(hostName.toLowerCase());
    let slashIndex = path.lastIndexOf("/");
    while (routes !== undefined && slashIndex >= 0) {
        const route = routes.get(path.slice(0, slashIndex + 1));
        if (route !== undefined) {
            return route;
        }
        slashIndex = slashIndex === 0 ? -1 : path.lastIndexOf("/", slashIndex - 1);
    }
    return undefined;
}

function pathIndexOf(resources: Resources): PathIndex {
    const cached = pathIndexes.get(resources);
    if (cached !== undefined) {
        return cached;
    }
    const index = new Map<string, Map<string, PathRoute>>();
    for (const resource of resources.values()) {
        if (resource.kind === ResourceKind.PathRoute) {
            const host = resource.hostName.toLowerCase();
            const routes = index.get(host) ?? new Map<string, PathRoute>();
            index.set(host, routes.set(resource.prefix, resource));
        }
    }
    pathIndexes.set(resources, index);
    return index;
}

/** Picks a destination with a probability proportional to its weight. */
export function pickDestination(
    destinations: readonly Destination[],
    random: number,
): Destination | undefined {
    let remainingWeight = random * destinations.reduce((sum, { weight }) => sum + weight, 0);
    for (const destination of destinations) {
        remainingWeight -= destination.weight;
        if (remainingWeight < 0) {
            return destination;
        }
    }
    return destinations.at(-1);
}

function createMatch(
    route: PathRoute,
    service: Service,
    { caller, limits }: { readonly caller: string; readonly limits: Limits | undefined },
): MatchedCall {
    return {
        service,
        operation: {
            name: route.name,
            method: "",
            path: route.prefix,
            repeatable: route.repetition === Repetition.Safe,
            deadlineMs: Math.min(route.timeoutMs, maxDeadlineMs),
            maxBodyBytes: limits?.maxBodyBytes ?? Infinity,
        },
        caller,
        partner: internalPartner,
        share: 1,
        maxAttempts: Math.max(1, route.maxAttempts),
        latencyObjectiveMs: route.latencyObjectiveMs,
        priority: route.priority,
    };
}
