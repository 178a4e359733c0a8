import { HostState, type HostRecord } from "./record.js";

const ranks = {
    [HostState.Alive]: 0,
    [HostState.Suspect]: 1,
    [HostState.Failed]: 2,
    [HostState.Left]: 3,
} satisfies Record<HostState, number>;

/**
 * Orders two records of one host: positive when `a` is newer than `b`. Incarnation counts first, then whether
 * the incarnation has left, then the counter, then the state. The order is total, so records merge to the same
 * result in whatever order they arrive.
 */
export function compareRecords(a: HostRecord, b: HostRecord): number {
    return (
        a.incarnation - b.incarnation ||
        Number(a.state === HostState.Left) - Number(b.state === HostState.Left) ||
        a.counter - b.counter ||
        ranks[a.state] - ranks[b.state]
    );
}

/** Whether a host may still carry calls: alive, or suspected and not yet failed. */
export function isLive(record: HostRecord): boolean {
    return record.state === HostState.Alive || record.state === HostState.Suspect;
}
