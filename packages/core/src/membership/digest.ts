import { digestBuckets, maxRepairRecords } from "./constants.js";
import { hash32 } from "./hash.js";
import { isLive } from "./order.js";
import type { HostRecord } from "./record.js";

export function bucketOf(host: string): number {
    return hash32(host) % digestBuckets;
}

/** Bucket and hash of each record, because records never change and all of them enter every digest. */
const summaries = new WeakMap<HostRecord, { readonly bucket: number; readonly hash: number }>();

function summarize(record: HostRecord): { readonly bucket: number; readonly hash: number } {
    const known = summaries.get(record);
    if (known !== undefined) {
        return known;
    }
    const { host, incarnation, counter, state } = record;
    const summary = { bucket: bucketOf(host), hash: hash32(`${host}\n${incarnation}\n${counter}\n${state}`) };
    summaries.set(record, summary);
    return summary;
}

/**
 * One hash for each bucket of the live records, independent of their order. Failed and left hosts are left out,
 * because hosts forget them at different times.
 */
export function computeDigest(records: Iterable<HostRecord>): number[] {
    const buckets = new Array<number>(digestBuckets).fill(0);
    for (const record of records) {
        if (isLive(record)) {
            const { bucket, hash } = summarize(record);
            buckets[bucket] = ((buckets[bucket] ?? 0) ^ hash) >>> 0;
        }
    }
    return buckets;
}

/**
 * Buckets to exchange in this round. When more than half differ, one side is joining and gets all of them;
 * otherwise as many as hold a bounded number of records, picked at random, and at least one.
 */
export function chooseRepairBuckets(
    ours: readonly number[],
    theirs: readonly number[],
    hosts: number,
    random: () => number,
): number[] {
    const differing = ours.flatMap((hash, bucket) => (hash === theirs[bucket] ? [] : [bucket]));
    if (differing.length > digestBuckets / 2) {
        return differing;
    }
    const limit = Math.max(1, Math.floor((maxRepairRecords * digestBuckets) / Math.max(1, hosts)));
    while (differing.length > limit) {
        differing.splice(Math.floor(random() * differing.length), 1);
    }
    return differing;
}

/** Live records of the given buckets. */
export function recordsOfBuckets(records: Iterable<HostRecord>, buckets: readonly number[]): HostRecord[] {
    const wanted = new Set(buckets);
    return [...records].filter(record => isLive(record) && wanted.has(bucketOf(record.host)));
}
