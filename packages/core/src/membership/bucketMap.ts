import { hash32 } from "./hash.js";

/** Buckets of the map; a change among 30,000 hosts copies about 120 entries. */
const mapBuckets = 256;

/** An immutable map by host name. A change copies only the buckets that it touches. */
export interface BucketMap<T> extends ReadonlyMap<string, T> {
    /** A map with the given changes; `undefined` removes a host. */
    withChanges(changes: ReadonlyMap<string, T | undefined>): BucketMap<T>;
}

export function createBucketMap<T>(): BucketMap<T> {
    const empty: ReadonlyMap<string, T> = new Map();
    return wrapBuckets(new Array<ReadonlyMap<string, T>>(mapBuckets).fill(empty), 0);
}

function wrapBuckets<T>(buckets: readonly ReadonlyMap<string, T>[], size: number): BucketMap<T> {
    const bucketOf = (host: string) => buckets[hash32(host) % mapBuckets] as ReadonlyMap<string, T>;
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
        forEach: listener =>
            buckets.forEach(bucket => bucket.forEach((item, host) => listener(item, host, map))),
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
        const at = hash32(host) % mapBuckets;
        const bucket = copied.get(at) ?? new Map(buckets[at]);
        copied.set(at, bucket);
        next[at] = bucket;
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
