import { createBucketMap, type BucketMap } from "./bucketMap.js";
import { maxHostRecords, maxTombstones, tombstoneMs } from "./constants.js";
import { compareRecords, isLive } from "./order.js";
import { HostState, type HostRecord } from "./record.js";

/** Host records, and since when each host that is not alive has been in its state, by the local clock. */
export interface HostTable {
    readonly records: BucketMap<HostRecord>;
    readonly since: ReadonlyMap<string, number>;
}

export interface Merge {
    readonly table: HostTable;
    /** Records that were newer than the known ones. */
    readonly changed: readonly HostRecord[];
    /** Failed and left hosts of which older, live news came in: the sender needs to hear of them. */
    readonly corrections: readonly HostRecord[];
    /** Records of unknown hosts that were dropped because the table is full. */
    readonly dropped: number;
}

export const emptyHostTable: HostTable = { records: createBucketMap(), since: new Map() };

/** Takes every record that is newer than the known one of its host. */
export function mergeRecords(table: HostTable, incoming: readonly HostRecord[], now: number): Merge {
    const since = new Map(table.since);
    const changed = new Map<string, HostRecord>();
    const corrections: HostRecord[] = [];
    let dropped = 0;
    let added = 0;
    for (const record of incoming) {
        const known = changed.get(record.host) ?? table.records.get(record.host);
        if (known === undefined && table.records.size + added >= maxHostRecords) {
            dropped += 1;
        } else if (known === undefined || compareRecords(record, known) > 0) {
            added += known === undefined ? 1 : 0;
            changed.set(record.host, record);
            noteState(since, record, now);
        } else if (!isLive(known) && isLive(record)) {
            corrections.push(known);
        }
    }
    if (changed.size === 0) {
        return { table, changed: [], corrections, dropped };
    }
    const records = table.records.withChanges(changed);
    return { table: { records, since }, changed: [...changed.values()], corrections, dropped };
}

/** Every newer record that is not alive starts its own time for refutation or removal. */
function noteState(since: Map<string, number>, record: HostRecord, now: number): void {
    since.delete(record.host);
    if (record.state !== HostState.Alive) {
        since.set(record.host, now);
    }
}

/** Removes the hosts that failed or left more than ten minutes ago, and the oldest of them above the bound. */
export function expireTombstones(table: HostTable, now: number): HostTable {
    const tombstones = [...table.since].filter(([host]) => {
        const record = table.records.get(host);
        return record !== undefined && !isLive(record);
    });
    const excess = tombstones.length - maxTombstones;
    if (excess <= 0 && !tombstones.some(([, at]) => now - at >= tombstoneMs)) {
        return table;
    }
    const expired = tombstones
        .sort(([, a], [, b]) => a - b)
        .filter(([, at], index) => index < excess || now - at >= tombstoneMs);
    const records = table.records.withChanges(new Map(expired.map(([host]) => [host, undefined])));
    const since = new Map(table.since);
    expired.forEach(([host]) => since.delete(host));
    return { records, since };
}
