import { Pool, type Dispatcher } from "undici";
import { createTrackingClient } from "./connections.js";
import { unusedPoolTimeoutMs } from "./constants.js";

/** Connections to one address. An exchange keeps its connection even if the pool is replaced for new calls. */
export interface ConnectionPool {
    readonly dispatcher: Dispatcher;
    /** Opens a connection outside of the pool for one exchange. The caller closes it. */
    openSingleUse(): Dispatcher;
}

interface PoolEntry extends ConnectionPool {
    readonly dispatcher: Pool;
    usedAt: number;
    /** Time of the last response head on any of the connections. */
    heardAt: number;
}

/** Connection pools to other daemons and to backend servers, by address. */
export interface Pools {
    get(address: string, connections: number): ConnectionPool;
    recordResponse(address: string): void;
    /** Whether a response head was received from the address at or after the instant. */
    hasRespondedSince(address: string, instant: number): boolean;
    /** Removes a pool: calls in flight finish on its connections, and new calls open a new pool. */
    retire(address: string): void;
    closeUnused(): void;
    /** Retires the pools of all other addresses. */
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
            const closed = entry.dispatcher.close().finally(() => closing.delete(closed));
            closing.add(closed);
        }
    }

    return {
        get(address, connections) {
            const entry = entries.get(address) ?? openEntry(address, connections);
            entry.usedAt = now();
            entries.set(address, entry);
            return entry;
        },
        recordResponse(address) {
            const entry = entries.get(address);
            if (entry !== undefined) {
                entry.heardAt = now();
            }
        },
        hasRespondedSince: (address, instant) => (entries.get(address)?.heardAt ?? -Infinity) >= instant,
        retire,
        closeUnused() {
            const unusedSince = now() - unusedPoolTimeoutMs;
            [...entries]
                .filter(([, { usedAt }]) => usedAt < unusedSince)
                .forEach(([address]) => retire(address));
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
    const origin = `http://${address}`;
    return {
        dispatcher: new Pool(origin, { connections, factory: createTrackingClient }),
        openSingleUse: () => createTrackingClient(origin),
        usedAt: 0,
        heardAt: -Infinity,
    };
}
