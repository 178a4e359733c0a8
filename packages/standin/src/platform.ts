import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** Faults and limits of the stand-in, switched with `PUT /control`. */
export interface PlatformFaults {
    /** Answer nothing and close each connection. */
    outage: boolean;
    /** Delay of each answer in milliseconds. */
    delayMs: number;
    /** Serve rows as they were this many writes ago. */
    staleWrites: number;
    /** Close the connection instead of answering the next writes, after they took effect. */
    loseAnswers: number;
    readsPerSecond: number;
    writesPerSecond: number;
}

export interface PlatformOptions {
    port?: number;
    address?: string;
    faults?: Partial<PlatformFaults>;
}

export interface Platform {
    readonly url: string;
    readonly port: number;
    readonly faults: PlatformFaults;
    counters(): PlatformCounters;
    close(): Promise<void>;
}

export interface PlatformCounters {
    reads: number;
    writes: number;
    refused: number;
    peakReadsPerSecond: number;
    peakWritesPerSecond: number;
}

interface StoredRow {
    readonly tag: string;
    readonly row: unknown;
}

interface Exchange {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly url: URL;
    readonly key: string;
}

const noFaults: PlatformFaults = {
    outage: false,
    delayMs: 0,
    staleWrites: 0,
    loseAnswers: 0,
    readsPerSecond: 2_000,
    writesPerSecond: 500,
};

/** Earlier contents kept of each row, for stale reads. */
const maxRowHistory = 16;

/**
 * Starts a stand-in for the platform's table service and object store.
 *
 * @example
 * ```ts
 * const platform = await startPlatform({ port: 9000 });
 * platform.faults.outage = true;
 * await platform.close();
 * ```
 */
export async function startPlatform(options: PlatformOptions = {}): Promise<Platform> {
    const faults: PlatformFaults = { ...noFaults, ...options.faults };
    const rows = new Map<string, StoredRow[]>();
    const objects = new Map<string, Buffer>();
    const counters: PlatformCounters = {
        reads: 0,
        writes: 0,
        refused: 0,
        peakReadsPerSecond: 0,
        peakWritesPerSecond: 0,
    };
    let second = { at: 0, reads: 0, writes: 0 };
    let nextTag = 1;

    const currentRow = (key: string) => rows.get(key)?.at(-1);

    function visibleRow(key: string): StoredRow | undefined {
        const history = rows.get(key) ?? [];
        return history[Math.max(0, history.length - 1 - faults.staleWrites)];
    }

    function storeRow(key: string, row: unknown): string {
        const tag = `"${nextTag++}"`;
        rows.set(key, [...(rows.get(key) ?? []), { tag, row }].slice(-maxRowHistory));
        return tag;
    }

    const handlers: Readonly<Record<string, (exchange: Exchange) => Promise<void> | void>> = {
        "GET rows": ({ response, request, url, key }) => {
            if (key === "") {
                return listRows(response, url);
            }
            const found = visibleRow(key);
            if (found === undefined) {
                return send(response, 404);
            }
            const unchanged = request.headers["if-none-match"] === found.tag;
            return unchanged
                ? send(response, 304, undefined, found.tag)
                : send(response, 200, found.row, found.tag);
        },
        "PUT rows": async ({ request, response, key }) => {
            const row = JSON.parse((await readBody(request)).toString("utf8"));
            const current = currentRow(key);
            const holds =
                request.headers["if-none-match"] === "*"
                    ? current === undefined
                    : current !== undefined && request.headers["if-match"] === current.tag;
            finishWrite(response, holds ? storeRow(key, row) : undefined);
        },
        "POST transactions": async ({ request, response }) => {
            const body = JSON.parse((await readBody(request)).toString("utf8")) as Transaction;
            const unchanged = body.unchanged.every(check => currentRow(check.key)?.tag === check.tag);
            const holds = unchanged && currentRow(body.write.key)?.tag === body.write.tag;
            finishWrite(response, holds ? storeRow(body.write.key, body.write.row) : undefined);
        },
        "GET objects": ({ response, key }) => {
            const bytes = objects.get(key);
            return bytes === undefined ? send(response, 404) : sendBytes(response, bytes);
        },
        "PUT objects": async ({ request, response, key }) => {
            objects.set(key, await readBody(request));
            finishWrite(response, `"${key}"`);
        },
    };

    function listRows(response: ServerResponse, url: URL): void {
        const prefix = url.searchParams.get("prefix") ?? "";
        const after = url.searchParams.get("after") ?? "";
        const found = [...rows.keys()]
            .filter(key => key.startsWith(prefix) && key > after)
            .sort()
            .map(key => ({ key, ...(visibleRow(key) as StoredRow) }));
        send(response, 200, found);
    }

    function finishWrite(response: ServerResponse, tag: string | undefined): void {
        if (faults.loseAnswers > 0) {
            faults.loseAnswers -= 1;
            response.destroy();
            return;
        }
        send(response, tag === undefined ? 412 : 200, undefined, tag);
    }

    /** Counts the request; returns whether it is over the limit of this second. */
    function isOverLimit(isRead: boolean): boolean {
        const at = Math.floor(Date.now() / 1_000);
        second = second.at === at ? second : { at, reads: 0, writes: 0 };
        if (isRead) {
            counters.reads += 1;
            second.reads += 1;
            counters.peakReadsPerSecond = Math.max(counters.peakReadsPerSecond, second.reads);
        } else {
            counters.writes += 1;
            second.writes += 1;
            counters.peakWritesPerSecond = Math.max(counters.peakWritesPerSecond, second.writes);
        }
        return isRead ? second.reads > faults.readsPerSecond : second.writes > faults.writesPerSecond;
    }

    async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(request.url ?? "/", "http://platform");
        if (url.pathname === "/control") {
            return control(request, response);
        }
        if (faults.outage) {
            request.socket.destroy();
            return;
        }
        await delay(faults.delayMs);
        if (isOverLimit(request.method === "GET")) {
            counters.refused += 1;
            return send(response, 429);
        }
        const [, , collection = "", key = ""] = url.pathname.split("/");
        const handler = handlers[`${request.method} ${collection}`];
        const exchange = { request, response, url, key: decodeURIComponent(key) };
        return handler === undefined ? send(response, 404) : handler(exchange);
    }

    async function control(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (request.method === "PUT") {
            Object.assign(faults, JSON.parse((await readBody(request)).toString("utf8")));
        }
        send(response, 200, { faults, counters });
    }

    const server = createServer((request, response) => {
        serve(request, response).catch(() => response.destroy());
    });
    await new Promise<void>(resolve =>
        server.listen(options.port ?? 0, options.address ?? "127.0.0.1", resolve),
    );
    const { port } = server.address() as AddressInfo;
    return {
        url: `http://127.0.0.1:${port}`,
        port,
        faults,
        counters: () => ({ ...counters }),
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
}

interface Transaction {
    readonly unchanged: readonly { readonly key: string; readonly tag: string }[];
    readonly write: { readonly key: string; readonly row: unknown; readonly tag?: string };
}

function send(response: ServerResponse, status: number, body?: unknown, tag?: string): void {
    response.writeHead(status, {
        "content-type": "application/json",
        ...(tag === undefined ? {} : { etag: tag }),
    });
    response.end(body === undefined ? "" : JSON.stringify(body));
}

function sendBytes(response: ServerResponse, bytes: Buffer): void {
    response.writeHead(200, { "content-type": "application/octet-stream" });
    response.end(bytes);
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

function delay(ms: number): Promise<void> {
    return ms === 0 ? Promise.resolve() : new Promise(resolve => setTimeout(resolve, ms));
}
