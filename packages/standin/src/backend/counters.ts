import type { BackendBoard, BackendCounters } from "./board.js";

export interface Counters {
    add(name: keyof BackendCounters, amount?: number): void;
}

/** Writes the `counters` section. */
export function createCounters(board: BackendBoard): Counters {
    const section = board.claimValue("counters");
    return {
        add(name, amount = 1) {
            section.update(previous => {
                const updated = { ...previous, [name]: previous[name] + amount };
                return {
                    ...updated,
                    peakInFlight: Math.max(updated.peakInFlight, updated.inFlight),
                    peakConnections: Math.max(updated.peakConnections, updated.connections),
                };
            });
        },
    };
}
