import { digestBucketCount, maxRepairRecordsPerRound } from "./constants.js";
import { hash32 } from "./hash.js";
import { isLive } from "./order.js";
import type { HostRecord } from "./record.js";

export function digestBucketOf(host: string): number {
    return hash32(host) % digestBucketCount;
}

/** Cached bucket and hash of each record. Records are immutable, and every digest covers all of them. */
const recordSummaries = new WeakMap<HostRecord, { readonly bucket: number; readonly hash: number }>();

function summarizeRecord(record: HostRecord): { readonly bucket: number; readonly hash: number } {
    const known = recordSummaries.get(record);
    if (known !== undefined) {
        return known;
    }
    const { host, incarnation, counter, state } = record;
    const summary = {
        bucket: digestBucketOf(host),
        hash: hash32(`${host}\n${incarnation}\n${counter}\n${state}`),
    };
    recordSummaries.set(record, summary);
    return summary;
}

/**
 * Computes one hash for each bucket of the live records, independent of their order. Failed and left hosts are omitted,
 * because hosts remove them at different times.
 */
export function computeDigest(records: Iterable<HostRecord>): number[] {
    const buckets = new Array<number>(digestBucketCount).fill(0);
    for (const record of records) {
        if (isLive(record)) {
            const { bucket, hash } = summarizeRecord(record);
            buckets[bucket] = ((buckets[bucket] ?? 0) ^ hash) >>> 0;
        }
    }
    return buckets;
}

/**
 * Chooses the buckets to exchange in this anti-entropy round. When more than half of them differ, one side is joining
 * and all differing buckets are exchanged. Otherwise a random subset is chosen that holds about
 * `maxRepairRecordsPerRound` records and at least one bucket.
 */
export function chooseRepairBuckets(
    localDigest: readonly number[],
    remoteDigest: readonly number[],
    hostCount: number,
    random: () => number,
): number[] {
    const differing = localDigest.flatMap((hash, bucket) => (hash === remoteDigest[bucket] ? [] : [bucket]));
    if (differing.length > digestBucketCount / 2) {
        return differing;
    }
    const bucketLimit = Math.max(
        1,
        Math.floor((maxRepairRecordsPerRound * digestBucketCount) / Math.max(1, hostCount)),
    );
    while (differing.length > bucketLimit) {
        differing.splice(Math.floor(random() * differing.length), 1);
    }
    return differing;
}

/** Live records in the given buckets. */
export function recordsInBuckets(records: Iterable<HostRecord>, buckets: readonly number[]): HostRecord[] {
    const requestedBuckets = new Set(buckets);
    return [...records].filter(record => isLive(record) && requestedBuckets.has(digestBucketOf(record.host)));
}
