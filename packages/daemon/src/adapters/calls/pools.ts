import type { Socket } from "node:net";
import { buildConnector, Pool, type Dispatcher } from "undici";
import { connectTimeoutMs, poolIdleMs, poolUnusedMs } from "./constants.js";

/** Connections to one address. They stay with an exchange that began on them, also when new calls get others. */
export interface Connections {
    readonly dispatcher: Dispatcher;
    /** Resumes the exchanges that wait for a slow reader. */
    readonly paused: Set<() => void>;
    /** True while the end of a connection is reported that was reset. */
    isCut: boolean;
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
    const connect = buildConnector({ timeout: connectTimeoutMs });
    const dispatcher = new Pool(`http://${address}`, {
        connections,
        pipelining: 1,
        keepAliveTimeout: poolIdleMs,
        keepAliveMaxTimeout: poolIdleMs,
        connect(options, callback) {
            connect(options, (...result) => {
                // A connection that could not be opened comes without a socket.
                if (result[1]) {
                    guardEnd(result[1], entry);
                }
                callback(...result);
            });
        },
    });
    const entry: PoolEntry = {
        dispatcher,
        paused: new Set(),
        isCut: false,
        usedAt: 0,
        heardAt: -Infinity,
    };
    return entry;
}

/**
 * Corrects what the client library makes of the end of a connection. It takes a reset for the end of a response
 * without a length, and it throws where the connection ends while its parser is paused.
 */
function guardEnd(socket: Socket, connections: Connections): void {
    socket.prependListener("error", (error: NodeJS.ErrnoException) => {
        if (error.code === "ECONNRESET") {
            error.code = resetCode;
        }
    });
    socket.prependListener("end", () => {
        [...connections.paused].forEach(resume => resume());
        // The event loop reports a reset that comes together with data as an end. Only a connection that was not reset
        // still has a peer; the name is not asked for before, because the socket keeps it.
        if (socket.remoteAddress === undefined) {
            connections.isCut = true;
            queueMicrotask(() => (connections.isCut = false));
        }
    });
}

/** Code of a reset connection that the client library does not know, so that the exchange fails as with other errors. */
const resetCode = "TANAGERTRAY_RESET";
