import type { PlatformBoard } from "./board.js";

export interface Limits {
    /** Counts a request; returns whether it is within the limit of this second. */
    admit(isRead: boolean): boolean;
    noteLost(): void;
    noteConnections(open: number): void;
}

/** Writes the `counters` section. */
export function createLimits(board: PlatformBoard, now: () => number = Date.now): Limits {
    const counters = board.claimValue("counters");
    let second = { at: 0, reads: 0, writes: 0 };

    function countRequest(isRead: boolean): boolean {
        const at = Math.floor(now() / 1_000);
        second = second.at === at ? second : { at, reads: 0, writes: 0 };
        second[isRead ? "reads" : "writes"] += 1;
        const { readsPerSecond, writesPerSecond } = board.read("faults");
        return isRead ? second.reads <= readsPerSecond : second.writes <= writesPerSecond;
    }

    return {
        admit(isRead) {
            const admitted = countRequest(isRead);
            counters.update(before => ({
                ...before,
                reads: before.reads + (isRead ? 1 : 0),
                writes: before.writes + (isRead ? 0 : 1),
                refused: before.refused + (admitted ? 0 : 1),
                peakReadsPerSecond: Math.max(before.peakReadsPerSecond, second.reads),
                peakWritesPerSecond: Math.max(before.peakWritesPerSecond, second.writes),
            }));
            return admitted;
        },
        noteLost: () => counters.update(before => ({ ...before, lost: before.lost + 1 })),
        noteConnections: open =>
            counters.update(before => ({
                ...before,
                connections: open,
                peakConnections: Math.max(before.peakConnections, open),
            })),
    };
}
