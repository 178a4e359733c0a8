import type { Capacity } from "./capacity.js";

/**
 * Limit of the calls sent to a backend server at a time, below its announced slots. Some servers never answer a request
 * that they cannot queue, for example because calls of an earlier daemon still run there.
 */
export interface ConcurrencyLimit {
    readonly slots: number;
    /** Calls in a row that got no response. */
    readonly silences: number;
    /** Responses since the limit last changed. */
    readonly responses: number;
}

/** Calls in a row without a response that lower the limit. A single one may have lost its response. */
const silencesPerStep = 2;
const stepDownFactor = 0.5;
/** Limit of backend servers with a limit of their own; the oldest is dropped beyond it. */
export const maxConcurrencyLimits = 256;

/** Returns the limit after a call that got no response. */
export function limitAfterSilence(limit: ConcurrencyLimit | undefined, slots: number): ConcurrencyLimit {
    const current = Math.min(limit?.slots ?? slots, slots);
    const silences = (limit?.silences ?? 0) + 1;
    return silences < silencesPerStep
        ? { slots: current, silences, responses: 0 }
        : { slots: Math.max(1, Math.floor(current * stepDownFactor)), silences: 0, responses: 0 };
}

/** Returns the limit after a response, or `undefined` once the announced slots apply again. */
export function limitAfterResponse(
    limit: ConcurrencyLimit | undefined,
    slots: number,
): ConcurrencyLimit | undefined {
    if (limit === undefined || limit.slots >= slots) {
        return undefined;
    }
    const responses = limit.responses + 1;
    const rises = responses >= limit.slots;
    return rises
        ? { slots: limit.slots + 1, silences: 0, responses: 0 }
        : { slots: limit.slots, silences: 0, responses };
}

/** Applies the limits to the capacities of backend servers. */
export function limitCapacities(
    capacities: readonly Capacity[],
    limits: ReadonlyMap<string, ConcurrencyLimit>,
): readonly Capacity[] {
    return limits.size === 0
        ? capacities
        : capacities.map(({ server, slots }) => ({
              server,
              slots: Math.min(slots, limits.get(server.id)?.slots ?? slots),
          }));
}
