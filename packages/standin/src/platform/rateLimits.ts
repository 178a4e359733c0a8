import type { PlatformBoard } from "./board.js";

export interface RateLimits {
    /** Counts a request; returns whether it is within the limit of the current second. */
    admit(isRead: boolean): boolean;
    noteLost(): void;
    noteConnections(open: number): void;
}

/** Writes the `counters` section. */
export function createRateLimits(board: PlatformBoard, now: () => number = Date.now): RateLimits {
    const counters = board.claimValue("counters");
    let currentSecond = { epochSecond: 0, reads: 0, writes: 0 };

    function countRequest(isRead: boolean): boolean {
        const epochSecond = Math.floor(now() / 1_000);
        currentSecond =
            currentSecond.epochSecond === epochSecond ? currentSecond : { epochSecond, reads: 0, writes: 0 };
        currentSecond[isRead ? "reads" : "writes"] += 1;
        const { readsPerSecond, writesPerSecond } = board.read("faults");
        return isRead ? currentSecond.reads <= readsPerSecond : currentSecond.writes <= writesPerSecond;
    }

    return {
        admit(isRead) {
            const admitted = countRequest(isRead);
            counters.update(previous => ({
                ...previous,
                reads: previous.reads + (isRead ? 1 : 0),
                writes: previous.writes + (isRead ? 0 : 1),
                refused: previous.refused + (admitted ? 0 : 1),
                peakReadsPerSecond: Math.max(previous.peakReadsPerSecond, currentSecond.reads),
                peakWritesPerSecond: Math.max(previous.peakWritesPerSecond, currentSecond.writes),
            }));
            return admitted;
        },
        noteLost: () => counters.update(previous => ({ ...previous, lost: previous.lost + 1 })),
        noteConnections: open =>
            counters.update(previous => ({
                ...previous,
                connections: open,
                peakConnections: Math.max(previous.peakConnections, open),
            })),
    };
}
