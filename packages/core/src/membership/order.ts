import { HostState, type HostRecord } from "./record.js";

const stateRanks = {
    [HostState.Alive]: 0,
    [HostState.Suspect]: 1,
    [HostState.Failed]: 2,
    [HostState.Left]: 3,
} satisfies Record<HostState, number>;

/**
 * Compares two records of one host; the result is positive if `a` is newer than `b`. Records are ordered by
 * incarnation, then by whether the host has left, then by counter, then by state. The order is total, so the result of
 * a merge does not depend on the order in which records arrive.
 */
export function compareRecords(a: HostRecord, b: HostRecord): number {
    return (
        a.incarnation - b.incarnation ||
        Number(a.state === HostState.Left) - Number(b.state === HostState.Left) ||
        a.counter - b.counter ||
        stateRanks[a.state] - stateRanks[b.state]
    );
}

/** Whether a host can still receive calls: it is alive or suspect. */
export function isLive(record: HostRecord): boolean {
    return record.state === HostState.Alive || record.state === HostState.Suspect;
}
