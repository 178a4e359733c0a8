import { Pool, type Dispatcher } from "undici";
import { createTracedClient } from "./connections.js";
import { unusedPoolTimeoutMs } from "./constants.js";

/** Connections to one address. They stay with an exchange that began on them, also when new calls get others. */
export interface Connections {
    readonly dispatcher: Dispatcher;
    /** A new connection for one exchange, apart from the others. The caller closes it. */
    openSingle(): Dispatcher;
}

interface PoolEntry extends Connections {
    readonly dispatcher: Pool;
    usedAt: number;
    /** When the last response head came, on any of its connections. */
    heardAt: number;
}

/** Connections to other daemons and to backend servers, by address. */
export interface Pools {
    get(address: string, connections: number): Connections;
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
            const done = entry.dispatcher.close().finally(() => closing.delete(done));
            closing.add(done);
        }
    }

    return {
        get(address, connections) {
            const entry = entries.get(address) ?? openEntry(address, connections);
            entry.usedAt = now();
            entries.set(address, entry);
            return entry;
        },
        noteHeard(address) {
            const entry = entries.get(address);
            if (entry !== undefined) {
                entry.heardAt = now();
            }
        },
        heardSince: (address, instant) => (entries.get(address)?.heardAt ?? -Infinity) >= instant,
        retire,
        closeUnused() {
            const limit = now() - unusedPoolTimeoutMs;
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
    const origin = `http://${address}`;
    return {
        dispatcher: new Pool(origin, { connections, factory: createTracedClient }),
        openSingle: () => createTracedClient(origin),
        usedAt: 0,
        heardAt: -Infinity,
    };
}
