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
import type { MatchedCall } from "./match.js";

type Resources = ReadonlyMap<ResourceName, Resource>;

/** Routes by host name and prefix. */
type PathIndex = ReadonlyMap<string, ReadonlyMap<string, PathRoute>>;

/** One index for each configuration, which never changes. */
const indexes = new WeakMap<Resources, PathIndex>();

export interface PathCall {
    readonly hostName: string;
    /** Path without the query. */
    readonly path: string;
    readonly caller: string;
    /** Uniform in [0, 1); picks the destination by weight. */
    readonly random: number;
}

/**
 * Matches a call with the route of its host name that has the longest prefix of its path.
 *
 * @example
 * ```ts
 * matchPathRoute(resources, { hostName: "stock.example", path: "/items/7", caller: "orders", random: Math.random() });
 * ```
 */
export function matchPathRoute(resources: Resources, call: PathCall): Either<Refusal, MatchedCall> {
    const route = findPathRoute(resources, call);
    const chosen = route === undefined ? undefined : pickDestination(route.destinations, call.random);
    const service = resources.get(chosen?.service ?? "") as Service | undefined;
    return route === undefined || service === undefined
        ? Left(refusal(RefusalReason.NoRoute))
        : Right(matchOnce(resources, route, service, call.caller));
}

/** What follows from the configuration is the same for all calls of a route, service and caller. */
const matches = new WeakMap<Resources, Map<string, MatchedCall>>();
/** Matches that are kept for one configuration; the callers of a host are few. */
const maxMatches = 16_384;

function matchOnce(resources: Resources, route: PathRoute, service: Service, caller: string): MatchedCall {
    const known = matches.get(resources) ?? new Map<string, MatchedCall>();
    matches.set(resources, known);
    const key = `${route.name} ${service.name} ${caller}`;
    const matched = known.get(key) ?? matchedBy(route, service, { caller, limits: callerLimits(resources) });
    if (known.size < maxMatches) {
        known.set(key, matched);
    }
    return matched;
}

/** Limits of callers' connections, when the configuration has any. */
export function callerLimits(resources: Resources): Limits | undefined {
    return resources.get(resourceName(ResourceKind.Limits, callerLimitsName)) as Limits | undefined;
}

export function findPathRoute(
    resources: Resources,
    { hostName, path }: Pick<PathCall, "hostName" | "path">,
): PathRoute | undefined {
    const routes = indexOf(resources).get(hostName.toLowerCase());
    let slash = path.lastIndexOf("/");
    while (routes !== undefined && slash >= 0) {
        const route = routes.get(path.slice(0, slash + 1));
        if (route !== undefined) {
            return route;
        }
        slash = slash === 0 ? -1 : path.lastIndexOf("/", slash - 1);
    }
    return undefined;
}

function indexOf(resources: Resources): PathIndex {
    const known = indexes.get(resources);
    if (known !== undefined) {
        return known;
    }
    const index = new Map<string, Map<string, PathRoute>>();
    for (const resource of resources.values()) {
        if (resource.kind === ResourceKind.PathRoute) {
            const host = resource.hostName.toLowerCase();
            const routes = index.get(host) ?? new Map<string, PathRoute>();
            index.set(host, routes.set(resource.prefix, resource));
        }
    }
    indexes.set(resources, index);
    return index;
}

/** Picks a destination in proportion to the weights. */
export function pickDestination(
    destinations: readonly Destination[],
    random: number,
): Destination | undefined {
    let rest = random * destinations.reduce((sum, { weight }) => sum + weight, 0);
    for (const destination of destinations) {
        rest -= destination.weight;
        if (rest < 0) {
            return destination;
        }
    }
    return destinations.at(-1);
}

function matchedBy(
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
