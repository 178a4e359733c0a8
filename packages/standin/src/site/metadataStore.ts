import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { closeServer, listen, readJson, sendJson } from "../http/messages.js";

export const StoreFault = {
    None: "none",
    /** Responds with 503 without doing anything. */
    Busy: "busy",
    /** Responds with 429 without doing anything. */
    Limited: "limited",
    /** Resets the connection. */
    Reset: "reset",
    /** Never responds. */
    Silent: "silent",
    /** Commits a transaction but never responds; other requests work as usual. */
    LostAnswer: "lostAnswer",
} as const;
export type StoreFault = (typeof StoreFault)[keyof typeof StoreFault];

export interface StoreFaults {
    readonly fault: StoreFault;
    /** Delay of each response, in milliseconds. */
    readonly delayMs: number;
    /** Serve reads as of this many transactions ago. */
    readonly staleTransactions: number;
}

/** A further listener of the store, with its own faults. */
export interface StoreEndpoint {
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
    /** Every version of every row, for stale reads. */
    readonly writeHistory: Row[];
    changes: Row[];
    /** Changes up to this version are no longer available in the feed. */
    compactedVersion: number;
    version: number;
    readonly feedWaiters: Set<() => void>;
    readonly calls: string[];
}

export interface StandInMetadataStore {
    /** `address:port` */
    readonly address: string;
    /** Writes a row with a JSON value; returns the new version of the store. */
    put(table: string, key: string, value: unknown): number;
    /** Writes a row whose value need not be JSON; returns the new version of the store. */
    putBytes(table: string, key: string, bytes: Buffer): number;
    setFaults(faults: Partial<StoreFaults>): void;
    /** Listens on a further address, whose faults do not affect the other addresses. */
    openEndpoint(): Promise<StoreEndpoint>;
    /** Discards the changes so far: the feed then responds with 410 to requests for earlier versions. */
    dropHistory(): void;
    /** Method and path of every request so far. */
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
        writeHistory: [],
        changes: [],
        compactedVersion: 0,
        version: 0,
        feedWaiters: new Set(),
        calls: [],
    };
    const mainEndpoint = await startEndpoint(store);
    const extraEndpoints: StoreEndpoint[] = [];

    function putBytes(table: string, key: string, bytes: Buffer): number {
        return commit(store, [
            { "table-name": table, part: "", key, value: bytes.toString("base64"), "version-number": 0 },
        ]);
    }

    return {
        address: mainEndpoint.address,
        put: (table, key, value) => putBytes(table, key, Buffer.from(JSON.stringify(value))),
        putBytes,
        setFaults: mainEndpoint.setFaults,
        async openEndpoint() {
            const endpoint = await startEndpoint(store);
            extraEndpoints.push(endpoint);
            return endpoint;
        },
        dropHistory() {
            store.compactedVersion = store.version;
            store.changes = [];
            resumeFeedRequests(store);
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
            await Promise.all([mainEndpoint, ...extraEndpoints].map(endpoint => endpoint.close()));
        },
    };
}

async function startEndpoint(store: Store): Promise<StoreEndpoint> {
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
            resumeFeedRequests(store);
            server.closeAllConnections();
            await closeServer(server);
        },
    };
}

/** Rows as of the given version. */
function rowsAsOf({ rows, writeHistory, version }: Store, asOf: number): readonly Row[] {
    if (asOf >= version) {
        return [...rows.values()];
    }
    const written = writeHistory.filter(row => row["version-number"] <= asOf);
    return [...new Map(written.map(row => [rowKeyOf(row), row])).values()];
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
        sendJson(response, 200, createResponseBody(asOf, { rows, "has-more": found.length > limit }));
    },
    "GET /-/rows-feed": async (store, query, { response, faults }) => {
        const after = Number(query.get("after"));
        const matchingChanges = () =>
            store.changes.filter(
                row =>
                    row["table-name"] === query.get("table-name") &&
                    row["version-number"] > after &&
                    row["version-number"] <= store.version - faults.staleTransactions,
            );
        if (matchingChanges().length === 0 && after >= store.compactedVersion) {
            await waitForChange(store, Number(query.get("wait-ms")));
        }
        if (after < store.compactedVersion) {
            return sendJson(response, 410, {});
        }
        sendJson(
            response,
            200,
            createResponseBody(store.version - faults.staleTransactions, { rows: matchingChanges() }),
        );
    },
    "POST /-/rows-tx": async (store, _query, { request, response, faults }) => {
        const body = (await readJson(request)) as TransactionBody;
        const current = body.expect.map(row => store.rows.get(rowKeyOf(row)));
        const conditionsMet = body.expect.every(
            (row, index) => row["version-number"] === (current[index]?.["version-number"] ?? 0),
        );
        if (!conditionsMet) {
            return sendJson(response, 412, { rows: current.filter(row => row !== undefined) });
        }
        commit(store, body.puts);
        if (faults.fault !== StoreFault.LostAnswer) {
            sendJson(response, 200, createResponseBody(store.version, {}));
        }
    },
};

/** Effect of a fault before the request is processed; the request is only processed if the result is `true`. */
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
    const endpoint = `${request.method} ${url.pathname}`;
    store.calls.push(endpoint);
    if (readFaults().delayMs > 0) {
        await sleep(readFaults().delayMs);
    }
    const faults = readFaults();
    if (faultHandlers[faults.fault](response) !== true) {
        return;
    }
    const handler = handlers[endpoint];
    if (handler === undefined) {
        return sendJson(response, 404, {});
    }
    await handler(store, url.searchParams, { request, response, faults });
}

function createResponseBody(
    version: number,
    fields: Readonly<Record<string, unknown>>,
): Record<string, unknown> {
    return { ...fields, "version-number": version, now: `${Math.floor(performance.now())}ms` };
}

function commit(store: Store, puts: readonly Row[]): number {
    store.version += 1;
    const written = puts.map(row => ({ ...row, "version-number": store.version }));
    written.forEach(row => store.rows.set(rowKeyOf(row), row));
    store.changes.push(...written);
    store.writeHistory.push(...written);
    resumeFeedRequests(store);
    return store.version;
}

function rowKeyOf(row: Row): string {
    return JSON.stringify([row["table-name"], row.part, row.key]);
}

function resumeFeedRequests({ feedWaiters }: Store): void {
    feedWaiters.forEach(resume => resume());
}

function waitForChange({ feedWaiters }: Store, waitMs: number): Promise<void> {
    return new Promise(resolve => {
        const resume = () => {
            clearTimeout(timer);
            feedWaiters.delete(resume);
            resolve();
        };
        const timer = setTimeout(resume, waitMs);
        feedWaiters.add(resume);
    });
}
