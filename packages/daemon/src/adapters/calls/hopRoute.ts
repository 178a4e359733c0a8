import {
    internalPartner,
    maxDeadlineMs,
    resourceName,
    ResourceKind,
    type MatchedCall,
    type Service,
} from "@tanagertray/core";
import type { Board } from "../../board.js";

/** Header by which an entry daemon tells the route of a call that the target alone does not show. */
export const routeHeader = "tanagertray-route";

/** Time for which calls of a service that is not known here may drain, in milliseconds: as long as a call may take. */
const unknownServiceDrainMs = maxDeadlineMs;

/** What the daemon of the backend server needs to know of the route. */
interface RouteClaim {
    readonly service: string;
    readonly operation: string;
    readonly repeatable: boolean;
    readonly priority: number;
    readonly latencyObjectiveMs: number;
}

/** Routes of calls are shared by all calls of a configuration, so each is encoded once. */
const encoded = new WeakMap<MatchedCall, string>();

export function encodeRoute(matched: MatchedCall): string {
    const header = encoded.get(matched) ?? encodeClaim(matched);
    encoded.set(matched, header);
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

/** Headers that were decoded last; hosts repeat those of their few hundred routes. */
const maxDecoded = 4_096;
const decoded = new WeakMap<object, Map<string, MatchedCall>>();

/** Decodes the header; `undefined` when it is not valid. */
export function decodeRoute(board: Board, header: string, caller: string): MatchedCall | undefined {
    const held = board.read("configuration");
    const known = decoded.get(held) ?? new Map<string, MatchedCall>();
    decoded.set(held, known);
    const key = `${caller} ${header}`;
    const matched = known.get(key) ?? decodeClaim(board, header, caller);
    if (matched !== undefined && known.size < maxDecoded) {
        known.set(key, matched);
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
        service: serviceNamed(board, service),
        operation: {
            name: operation,
            method: "",
            path: "",
            repeatable,
            // The entry daemon has applied that of the route.
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

/** The entry daemon may hold a newer version that names a service unknown here; its backend servers still count. */
function serviceNamed(board: Board, name: string): Service {
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
