import {
    internalPartner,
    maxDeadlineMs,
    ResourceKind,
    resourceName,
    type MatchedCall,
    type Service,
} from "@tanagertray/core";
import type { Board } from "../../board.js";

/** Header for the route of a call, sent when the request target does not identify the route. */
export const routeHeader = "tanagertray-route";

/** Drain limit of a service that this host does not know, in milliseconds: the longest duration of a call. */
const unknownServiceDrainMs = maxDeadlineMs;

/** Attributes of the route that the daemon of the backend server uses. */
interface RouteClaim {
    readonly service: string;
    readonly operation: string;
    readonly repeatable: boolean;
    readonly priority: number;
    readonly latencyObjectiveMs: number;
}

/** Headers by route. All calls of a configuration share its route objects, so each is encoded once. */
const encodedRoutes = new WeakMap<MatchedCall, string>();

export function encodeRoute(matched: MatchedCall): string {
    const header = encodedRoutes.get(matched) ?? encodeClaim(matched);
    encodedRoutes.set(matched, header);
    return header;
}

function encodeClaim({ service, operation, priority, latencyObjectiveMs }: MatchedCall): string {
    const { name, repeatable } = operation;
    const claim: RouteClaim = {
        service: service.name,
        operation: name,
        repeatable,
        priority,
        latencyObjectiveMs,
    };
    return encodeURIComponent(JSON.stringify(claim));
}

/** Limit of the cache of decoded headers for one configuration; a deployment has a few hundred routes. */
const maxDecodedRoutes = 4_096;
const decodedRoutes = new WeakMap<object, Map<string, MatchedCall>>();

/** Decodes the header; `undefined` when it is not valid. */
export function decodeRoute(board: Board, header: string, caller: string): MatchedCall | undefined {
    const configuration = board.read("configuration");
    const routes = decodedRoutes.get(configuration) ?? new Map<string, MatchedCall>();
    decodedRoutes.set(configuration, routes);
    const key = `${caller} ${header}`;
    const matched = routes.get(key) ?? decodeClaim(board, header, caller);
    if (matched !== undefined && routes.size < maxDecodedRoutes) {
        routes.set(key, matched);
    }
    return matched;
}

function decodeClaim(board: Board, header: string, caller: string): MatchedCall | undefined {
    const claim = parseClaim(header);
    if (claim === undefined) {
        return undefined;
    }
    const { service, operation, repeatable, priority, latencyObjectiveMs } = claim;
    return {
        service: serviceOrDefault(board, service),
        operation: {
            name: operation,
            method: "",
            path: "",
            repeatable,
            // The entry daemon has already applied the deadline of the route.
            deadlineMs: maxDeadlineMs,
            maxBodyBytes: Infinity,
        },
        caller,
        partner: internalPartner,
        share: 1,
        maxAttempts: 1,
        latencyObjectiveMs,
        priority,
    };
}

function parseClaim(header: string): RouteClaim | undefined {
    try {
        const value = JSON.parse(decodeURIComponent(header)) as Partial<RouteClaim> | null;
        const isValid =
            typeof value?.service === "string" &&
            typeof value.operation === "string" &&
            typeof value.repeatable === "boolean" &&
            Number.isFinite(value.priority) &&
            Number.isFinite(value.latencyObjectiveMs);
        return isValid ? (value as RouteClaim) : undefined;
    } catch {
        // Not JSON; the caller refuses the hop and logs it.
        return undefined;
    }
}

/**
 * Finds a service, or builds one without limits: the entry daemon may have a newer version with a service that is not
 * known here yet, although this host already has backend servers of it.
 */
function serviceOrDefault(board: Board, name: string): Service {
    const resources = board.read("configuration").held?.resources;
    const known = resources?.get(resourceName(ResourceKind.Service, name)) as Service | undefined;
    return (
        known ?? {
            kind: ResourceKind.Service,
            name,
            slots: Infinity,
            connections: Infinity,
            drainMs: unknownServiceDrainMs,
            coldStartMs: 0,
        }
    );
}
