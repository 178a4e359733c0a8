import { createBlackboard, type Blackboard, type Value } from "@tanagertray/core";

/** Faults and limits of the platform stand-in, switched with `PUT /control`. */
export interface PlatformFaults {
    /** Answer nothing and close each connection. */
    outage: boolean;
    /** Accept connections and requests, and never answer. */
    silent: boolean;
    /** Delay of each answer in milliseconds. */
    delayMs: number;
    /** Serve rows as they were this many writes ago. */
    staleWrites: number;
    /** Close the connection instead of answering the next writes, after they took effect. */
    loseAnswers: number;
    /** Close the connection instead of answering the next writes, before they take effect. */
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
 * Sections of the platform stand-in and their writers: `faults` by faults.ts, `counters` by limits.ts,
 * `rows` by table.ts, `objects` by objectStore.ts. The writers of the two maps change them in place,
 * because a copy for each write costs more as a test stores more rows.
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
