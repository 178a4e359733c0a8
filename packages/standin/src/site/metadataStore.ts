import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { closeServer, listen, readJson, sendJson } from "../http/messages.js";

export const StoreFault = {
    None: "none",
    /** Answers 503: nothing was done. */
    Busy: "busy",
    /** Answers 429. */
    Limited: "limited",
    /** Resets the connection. */
    Reset: "reset",
    /** Never answers. */
    Silent: "silent",
    /** Carries a transaction out and never answers. */
    LostAnswer: "lostAnswer",
} as const;
export type StoreFault = (typeof StoreFault)[keyof typeof StoreFault];

export interface StoreFaults {
    readonly fault: StoreFault;
    /** Delay of each answer, in milliseconds. */
    readonly delayMs: number;
    /** Serve reads as of this many transactions ago. */
    readonly staleTransactions: number;
}

/** Another address of the store, with faults of its own. */
export interface StoreDoor {
    /** `address:port` */
    readonly address: string;
    setFaults(faults: Partial<StoreFaults>): void;
    close(): Promise<void>;
}

interface Row {
    readonly "table-name": string;
    readonly part: string;
    readonly key: string;
    readonly value: string;
    readonly "version-number": number;
    readonly deleted?: boolean;
}

interface TransactionBody {
    readonly expect: readonly Row[];
    readonly puts: readonly Row[];
}

interface Store {
    readonly rows: Map<string, Row>;
    /** Every row ever written, for stale reads. */
    readonly past: Row[];
    changes: Row[];
    /** Changes up to this version are forgotten. */
    forgotten: number;
    version: number;
    readonly waiting: Set<() => void>;
    readonly calls: string[];
}

export interface StandInMetadataStore {
    /** `address:port` */
    readonly address: string;
    /** Writes a row as the operator does. */
    put(table: string, key: string, value: unknown): number;
    /** Writes bytes that need not be JSON. */
    putBytes(table: string, key: string, bytes: Buffer): number;
    setFaults(faults: Partial<StoreFaults>): void;
    /** Opens a further address; the faults of one address do not concern the others. */
    openDoor(): Promise<StoreDoor>;
    dropHistory(): void;
    /** Method and path of every call so far. */
    calls(): readonly string[];
    rows(table: string): ReadonlyMap<string, unknown>;
    close(): Promise<void>;
}

type Handler = (
    store: Store,
    query: URLSearchParams,
    exchange: {
        readonly request: IncomingMessage;
        readonly response: ServerResponse;
        readonly faults: StoreFaults;
    },
) => Promise<void> | void;

/**
 * Starts a stand-in for the metadata store of the users' platform.
 *
 * @example
 * ```ts
 * const store = await startMetadataStore();
 * store.put("op", "config", { version: 1 });
 * store.setFaults({ fault: StoreFault.Busy });
 * ```
 */
export async function startMetadataStore(): Promise<StandInMetadataStore> {
    const store: Store = {
        rows: new Map(),
        past: [],
        changes: [],
        forgotten: 0,
        version: 0,
        waiting: new Set(),
        calls: [],
    };
    const main = await openAddress(store);
    const doors: StoreDoor[] = [];

    function putBytes(table: string, key: string, bytes: Buffer): number {
        return commit(store, [
            { "table-name": table, part: "", key, value: bytes.toString("base64"), "version-number": 0 },
        ]);
    }

    return {
        address: main.address,
        put: (table, key, value) => putBytes(table, key, Buffer.from(JSON.stringify(value))),
        putBytes,
        setFaults: main.setFaults,
        async openDoor() {
            const door = await openAddress(store);
            doors.push(door);
            return door;
        },
        dropHistory() {
            store.forgotten = store.version;
            store.changes = [];
            wake(store);
        },
        calls: () => store.calls,
        rows: table =>
            new Map(
                [...store.rows.values()]
                    .filter(row => row["table-name"] === table)
                    .map(row => [
                        row.key,
                        JSON.parse(Buffer.from(row.value, "base64").toString()) as unknown,
                    ]),
            ),
        async close() {
            await Promise.all([main, ...doors].map(door => door.close()));
        },
    };
}

async function openAddress(store: Store): Promise<StoreDoor> {
    let faults: StoreFaults = { fault: StoreFault.None, delayMs: 0, staleTransactions: 0 };
    const server = createServer((request, response) => {
        serve(store, () => faults, { request, response }).catch(() => response.destroy());
    });
    const { address } = await listen(server);
    return {
        address,
        setFaults: changes => (faults = { ...faults, ...changes }),
        async close() {
            faults = { ...faults, fault: StoreFault.Reset, delayMs: 0 };
            wake(store);
            server.closeAllConnections();
            await closeServer(server);
        },
    };
}

/** Rows as of an earlier version. */
function rowsAsOf({ rows, past, version }: Store, asOf: number): readonly Row[] {
    if (asOf >= version) {
        return [...rows.values()];
    }
    const then = past.filter(row => row["version-number"] <= asOf);
    return [...new Map(then.map(row => [nameOf(row), row])).values()];
}

const handlers: Readonly<Record<string, Handler>> = {
    "GET /-/rows-get": (store, query, { response, faults }) => {
        const asOf = store.version - faults.staleTransactions;
        const from = query.get("from") ?? "";
        const limit = Number(query.get("limit") ?? 500);
        const found = rowsAsOf(store, asOf)
            .filter(row => row["table-name"] === query.get("table-name") && row.part === query.get("part"))
            .filter(({ key }) => key >= from)
            .sort((a, b) => (a.key < b.key ? -1 : 1));
        const rows = found.slice(0, limit);
        sendJson(response, 200, answer(asOf, { rows, "has-more": found.length > limit }));
    },
    "GET /-/rows-feed": async (store, query, { response, faults }) => {
        const after = Number(query.get("after"));
        const changesOf = () =>
            store.changes.filter(
                row =>
                    row["table-name"] === query.get("table-name") &&
                    row["version-number"] > after &&
                    row["version-number"] <= store.version - faults.staleTransactions,
            );
        if (changesOf().length === 0 && after >= store.forgotten) {
            await changeOrTimeout(store, Number(query.get("wait-ms")));
        }
        if (after < store.forgotten) {
            return sendJson(response, 410, {});
        }
        sendJson(response, 200, answer(store.version - faults.staleTransactions, { rows: changesOf() }));
    },
    "POST /-/rows-tx": async (store, _query, { request, response, faults }) => {
        const body = (await readJson(request)) as TransactionBody;
        const current = body.expect.map(row => store.rows.get(nameOf(row)));
        const holds = body.expect.every(
            (row, at) => row["version-number"] === (current[at]?.["version-number"] ?? 0),
        );
        if (!holds) {
            return sendJson(response, 412, { rows: current.filter(row => row !== undefined) });
        }
        commit(store, body.puts);
        if (faults.fault !== StoreFault.LostAnswer) {
            sendJson(response, 200, answer(store.version, {}));
        }
    },
};

/** What a fault does with a call before it is carried out; `true` carries it out. */
const faultHandlers = {
    [StoreFault.None]: () => true,
    [StoreFault.Busy]: response => sendJson(response, 503, {}),
    [StoreFault.Limited]: response => sendJson(response, 429, {}),
    [StoreFault.Reset]: response => void response.socket?.resetAndDestroy(),
    [StoreFault.Silent]: () => undefined,
    [StoreFault.LostAnswer]: () => true,
} satisfies Record<StoreFault, (response: ServerResponse) => boolean | void>;

async function serve(
    store: Store,
    readFaults: () => StoreFaults,
    { request, response }: { readonly request: IncomingMessage; readonly response: ServerResponse },
): Promise<void> {
    const url = new URL(request.url ?? "/", "http://store");
    const name = `${request.method} ${url.pathname}`;
    store.calls.push(name);
    if (readFaults().delayMs > 0) {
        await sleep(readFaults().delayMs);
    }
    const faults = readFaults();
    if (faultHandlers[faults.fault](response) !== true) {
        return;
    }
    const handler = handlers[name];
    if (handler === undefined) {
        return sendJson(response, 404, {});
    }
    await handler(store, url.searchParams, { request, response, faults });
}

function answer(version: number, fields: Readonly<Record<string, unknown>>): Record<string, unknown> {
    return { ...fields, "version-number": version, now: `${Math.floor(performance.now())}ms` };
}

function commit(store: Store, puts: readonly Row[]): number {
    store.version += 1;
    const written = puts.map(row => ({ ...row, "version-number": store.version }));
    written.forEach(row => store.rows.set(nameOf(row), row));
    store.changes.push(...written);
    store.past.push(...written);
    wake(store);
    return store.version;
}

function nameOf(row: Row): string {
    return JSON.stringify([row["table-name"], row.part, row.key]);
}

function wake({ waiting }: Store): void {
    waiting.forEach(resume => resume());
}

function changeOrTimeout({ waiting }: Store, waitMs: number): Promise<void> {
    return new Promise(resolve => {
        const resume = () => {
            clearTimeout(timer);
            waiting.delete(resume);
            resolve();
        };
        const timer = setTimeout(resume, waitMs);
        waiting.add(resume);
    });
}
