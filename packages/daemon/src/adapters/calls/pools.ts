import { buildConnector, Pool } from "undici";
import { connectTimeoutMs, poolIdleMs, poolUnusedMs } from "./constants.js";

interface PoolEntry {
    readonly pool: Pool;
    usedAt: number;
    /** When the last response head came, on any of its connections. */
    heardAt: number;
    readonly failures: ConnectionFailures;
}

/** Connections of a pool that ended with an error. */
interface ConnectionFailures {
    count: number;
}

/** Connections to other daemons and to backend servers, by address. */
export interface Pools {
    get(address: string, connections: number): Pool;
    noteHeard(address: string): void;
    /** Whether a response head came from the address since then. */
    heardSince(address: string, instant: number): boolean;
    /** Connections to the address that were reset so far. */
    resets(address: string): number;
    /** Lets calls in flight finish on the old connections and gives new calls new connections. */
    retire(address: string): void;
    closeUnused(): void;
    /** Closes the pools of all other addresses. */
    keepOnly(addresses: ReadonlySet<string>): void;
    size(): number;
    close(): Promise<void>;
}

export function createPools(now: () => number): Pools {
    const entries = new Map<string, PoolEntry>();
    const closing = new Set<Promise<void>>();

    function retire(address: string): void {
        const entry = entries.get(address);
        if (entry !== undefined) {
            entries.delete(address);
            const done = entry.pool.close().finally(() => closing.delete(done));
            closing.add(done);
        }
    }

    return {
        get(address, connections) {
            const entry = entries.get(address) ?? openEntry(address, connections);
            entry.usedAt = now();
            entries.set(address, entry);
            return entry.pool;
        },
        noteHeard(address) {
            const entry = entries.get(address);
            if (entry !== undefined) {
                entry.heardAt = now();
            }
        },
        heardSince: (address, instant) => (entries.get(address)?.heardAt ?? -Infinity) >= instant,
        resets: address => entries.get(address)?.failures.count ?? 0,
        retire,
        closeUnused() {
            const limit = now() - poolUnusedMs;
            [...entries].filter(([, { usedAt }]) => usedAt < limit).forEach(([address]) => retire(address));
        },
        keepOnly(addresses) {
            [...entries.keys()].filter(address => !addresses.has(address)).forEach(retire);
        },
        size: () => entries.size,
        async close() {
            [...entries.keys()].forEach(retire);
            await Promise.all(closing);
        },
    };
}

function openEntry(address: string, connections: number): PoolEntry {
    const failures: ConnectionFailures = { count: 0 };
    const connect = buildConnector({ timeout: connectTimeoutMs });
    const pool = new Pool(`http://${address}`, {
        connections,
        pipelining: 1,
        keepAliveTimeout: poolIdleMs,
        keepAliveMaxTimeout: poolIdleMs,
        connect(options, callback) {
            connect(options, (...result) => {
                result[1]?.prependListener("error", () => (failures.count += 1));
                callback(...result);
            });
        },
    });
    return { pool, usedAt: 0, heardAt: -Infinity, failures };
}
