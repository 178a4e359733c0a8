import { createBucketMap, type BucketMap } from "./bucketMap.js";
import { maxHostRecords, maxTombstones, tombstoneTtlMs } from "./constants.js";
import { compareRecords, isLive } from "./order.js";
import { HostState, type HostRecord } from "./record.js";

/** Host records, and for each host that is not alive the local time at which it entered its state. */
export interface HostTable {
    readonly records: BucketMap<HostRecord>;
    readonly since: ReadonlyMap<string, number>;
}

export interface MergeResult {
    readonly table: HostTable;
    /** Incoming records that replaced older ones or were the first of their host. */
    readonly changed: readonly HostRecord[];
    /** Records of failed and left hosts for which the sender sent an older, live record. They are sent back to it. */
    readonly corrections: readonly HostRecord[];
    /** Number of records of unknown hosts that were dropped because the table is full. */
    readonly dropped: number;
}

export const emptyHostTable: HostTable = { records: createBucketMap(), since: new Map() };

/** Merges every incoming record that is newer than the known record of its host. */
export function mergeRecords(table: HostTable, incoming: readonly HostRecord[], now: number): MergeResult {
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
            updateSince(since, record, now);
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

/** Restarts the time limit for refutation or removal with every newer record of a host that is not alive. */
function updateSince(since: Map<string, number>, record: HostRecord, now: number): void {
    since.delete(record.host);
    if (record.state !== HostState.Alive) {
        since.set(record.host, now);
    }
}

/** Removes failed and left hosts after `tombstoneTtlMs`, and the oldest ones in excess of `maxTombstones`. */
export function expireTombstones(table: HostTable, now: number): HostTable {
    const tombstones = [...table.since].filter(([host]) => {
        const record = table.records.get(host);
        return record !== undefined && !isLive(record);
    });
    const excess = tombstones.length - maxTombstones;
    if (excess <= 0 && !tombstones.some(([, at]) => now - at >= tombstoneTtlMs)) {
        return table;
    }
    const expired = tombstones
        .sort(([, a], [, b]) => a - b)
        .filter(([, at], index) => index < excess || now - at >= tombstoneTtlMs);
    const records = table.records.withChanges(new Map(expired.map(([host]) => [host, undefined])));
    const since = new Map(table.since);
    expired.forEach(([host]) => since.delete(host));
    return { records, since };
}
