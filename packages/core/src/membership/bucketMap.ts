import { hash32 } from "./hash.js";

/** With 256 buckets, a change of one host among 30,000 copies about 120 entries. */
const bucketCount = 256;

/** An immutable map with host names as keys. A change copies only the affected buckets. */
export interface BucketMap<T> extends ReadonlyMap<string, T> {
    /** Returns a map with the given changes applied; `undefined` removes a host. */
    withChanges(changes: ReadonlyMap<string, T | undefined>): BucketMap<T>;
}

export function createBucketMap<T>(): BucketMap<T> {
    const empty: ReadonlyMap<string, T> = new Map();
    return wrapBuckets(new Array<ReadonlyMap<string, T>>(bucketCount).fill(empty), 0);
}

function wrapBuckets<T>(buckets: readonly ReadonlyMap<string, T>[], size: number): BucketMap<T> {
    const bucketOf = (host: string) => buckets[hash32(host) % bucketCount] as ReadonlyMap<string, T>;
    function* entries(): Generator<[string, T], undefined> {
        for (const bucket of buckets) {
            yield* bucket;
        }
    }
    function* keys(): Generator<string, undefined> {
        for (const bucket of buckets) {
            yield* bucket.keys();
        }
    }
    function* values(): Generator<T, undefined> {
        for (const bucket of buckets) {
            yield* bucket.values();
        }
    }
    const map: BucketMap<T> = {
        size,
        get: host => bucketOf(host).get(host),
        has: host => bucketOf(host).has(host),
        entries,
        keys,
        values,
        [Symbol.iterator]: entries,
        forEach: callback =>
            buckets.forEach(bucket => bucket.forEach((item, host) => callback(item, host, map))),
        withChanges: changes => applyChanges(buckets, size, changes),
    };
    return map;
}

function applyChanges<T>(
    buckets: readonly ReadonlyMap<string, T>[],
    size: number,
    changes: ReadonlyMap<string, T | undefined>,
): BucketMap<T> {
    const next = [...buckets];
    const copied = new Map<number, Map<string, T>>();
    let nextSize = size;
    for (const [host, item] of changes) {
        const bucketIndex = hash32(host) % bucketCount;
        const bucket = copied.get(bucketIndex) ?? new Map(buckets[bucketIndex]);
        copied.set(bucketIndex, bucket);
        next[bucketIndex] = bucket;
        nextSize -= bucket.size;
        if (item === undefined) {
            bucket.delete(host);
        } else {
            bucket.set(host, item);
        }
        nextSize += bucket.size;
    }
    return wrapBuckets(next, nextSize);
}
