import { Pool, type Dispatcher } from "undici";
import { createTracedClient } from "./connections.js";
import { poolUnusedMs } from "./constants.js";

interface PoolEntry {
    readonly pool: Pool;
    usedAt: number;
    /** When the last response head came, on any of its connections. */
    heardAt: number;
}

/** Connections to other daemons and to backend servers, by address. */
export interface Pools {
    get(address: string, connections: number): Pool;
    /** A new connection for one exchange, apart from the pool. The caller closes it. */
    openSingle(address: string): Dispatcher;
    noteHeard(address: string): void;
    /** Whether a response head came from the address since then. */
    heardSince(address: string, instant: number): boolean;
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
        openSingle: address => createTracedClient(originOf(address)),
        noteHeard(address) {
            const entry = entries.get(address);
            if (entry !== undefined) {
                entry.heardAt = now();
            }
        },
        heardSince: (address, instant) => (entries.get(address)?.heardAt ?? -Infinity) >= instant,
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

function originOf(address: string): string {
    return `http://${address}`;
}

function openEntry(address: string, connections: number): PoolEntry {
    const pool = new Pool(originOf(address), { connections, factory: createTracedClient });
    return { pool, usedAt: 0, heardAt: -Infinity };
}
