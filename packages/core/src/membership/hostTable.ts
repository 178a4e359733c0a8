import { maxHostRecords, maxTombstones, tombstoneMs } from "./constants.js";
import { compareRecords, isLive } from "./order.js";
import { HostState, type HostRecord } from "./record.js";

/** Host records, and since when each host that is not alive has been in its state, by the local clock. */
export interface HostTable {
    readonly records: ReadonlyMap<string, HostRecord>;
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

export const emptyHostTable: HostTable = { records: new Map(), since: new Map() };

/** Takes every record that is newer than the known one of its host. */
export function mergeRecords(table: HostTable, incoming: readonly HostRecord[], now: number): Merge {
    const records = new Map(table.records);
    const since = new Map(table.since);
    const changed = new Map<string, HostRecord>();
    const corrections: HostRecord[] = [];
    let dropped = 0;
    for (const record of incoming) {
        const known = records.get(record.host);
        if (known === undefined && records.size >= maxHostRecords) {
            dropped += 1;
        } else if (known === undefined || compareRecords(record, known) > 0) {
            records.set(record.host, record);
            changed.set(record.host, record);
            noteState(since, record, now);
        } else if (!isLive(known) && isLive(record)) {
            corrections.push(known);
        }
    }
    if (changed.size === 0) {
        return { table, changed: [], corrections, dropped };
    }
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
    const expired = tombstones
        .sort(([, a], [, b]) => a - b)
        .filter(([, at], index) => index < excess || now - at >= tombstoneMs);
    if (expired.length === 0) {
        return table;
    }
    const records = new Map(table.records);
    const since = new Map(table.since);
    for (const [host] of expired) {
        records.delete(host);
        since.delete(host);
    }
    return { records, since };
}
