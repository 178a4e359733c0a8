import { createBlackboard, type Blackboard, type Value } from "@tanagertray/core";

/** Injected faults and rate limits of the platform stand-in, set with `PUT /control`. */
export interface PlatformFaults {
    /** Close each connection without a response. */
    outage: boolean;
    /** Accept connections and requests but never respond. */
    silent: boolean;
    /** Delay of each response in milliseconds. */
    delayMs: number;
    /** Serve each row as it was this many writes ago. */
    staleWrites: number;
    /** Number of upcoming writes that are applied but whose connection is closed instead of a response. */
    loseAnswers: number;
    /** Number of upcoming writes that are discarded and whose connection is closed instead of a response. */
    loseRequests: number;
    readsPerSecond: number;
    writesPerSecond: number;
}

export interface PlatformCounters {
    reads: number;
    writes: number;
    refused: number;
    lost: number;
    peakReadsPerSecond: number;
    peakWritesPerSecond: number;
    connections: number;
    peakConnections: number;
}

export interface StoredRow {
    readonly tag: string;
    readonly row: unknown;
}

/**
 * Sections of the platform stand-in and their writers: `faults` by faultControl.ts, `counters` by rateLimits.ts,
 * `rows` by table.ts, `objects` by objectStore.ts. The writers of the two maps mutate them in place,
 * because copying a map on each write becomes slower as a test stores more rows.
 */
export interface PlatformSections {
    faults: Value<PlatformFaults>;
    counters: Value<PlatformCounters>;
    rows: Value<ReadonlyMap<string, readonly StoredRow[]>>;
    objects: Value<ReadonlyMap<string, Buffer>>;
}

export type PlatformBoard = Blackboard<PlatformSections>;

export const noPlatformFaults: Readonly<PlatformFaults> = {
    outage: false,
    silent: false,
    delayMs: 0,
    staleWrites: 0,
    loseAnswers: 0,
    loseRequests: 0,
    readsPerSecond: 2_000,
    writesPerSecond: 500,
};

export function createPlatformBoard(faults: Partial<PlatformFaults> = {}): PlatformBoard {
    return createBlackboard<PlatformSections>({
        values: {
            faults: { ...noPlatformFaults, ...faults },
            counters: {
                reads: 0,
                writes: 0,
                refused: 0,
                lost: 0,
                peakReadsPerSecond: 0,
                peakWritesPerSecond: 0,
                connections: 0,
                peakConnections: 0,
            },
            rows: new Map(),
            objects: new Map(),
        },
        feeds: {},
    });
}
