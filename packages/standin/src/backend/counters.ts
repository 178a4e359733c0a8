import type { BackendBoard, BackendCounters } from "./board.js";

export interface Counters {
    add(name: keyof BackendCounters, amount?: number): void;
}

/** Writes the `counters` section. */
export function createCounters(board: BackendBoard): Counters {
    const counters = board.claimValue("counters");
    return {
        add(name, amount = 1) {
            counters.update(before => {
                const after = { ...before, [name]: before[name] + amount };
                return {
                    ...after,
                    peakInFlight: Math.max(after.peakInFlight, after.inFlight),
                    peakConnections: Math.max(after.peakConnections, after.connections),
                };
            });
        },
    };
}
