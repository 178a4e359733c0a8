import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { readBody, readJson, sendJson } from "../http/messages.js";
import type { PlatformBoard, PlatformFaults } from "./board.js";
import { passesIfNoneMatch } from "./conditionalRequests.js";
import type { FaultControl } from "./faultControl.js";
import type { RateLimits } from "./rateLimits.js";
import type { ObjectStore } from "./objectStore.js";
import type { Table, Transaction } from "./table.js";

export interface PlatformParts {
    readonly board: PlatformBoard;
    readonly faultControl: FaultControl;
    readonly limits: RateLimits;
    readonly table: Table;
    readonly objects: ObjectStore;
}

interface Exchange {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly url: URL;
    readonly key: string;
}

type Handler = (exchange: Exchange, parts: PlatformParts) => Promise<void> | void;

const handlers: Readonly<Record<string, Handler>> = {
    "GET rows": ({ request, response, url, key }, { table }) => {
        if (key === "") {
            const { searchParams } = url;
            const found = table.list(searchParams.get("prefix") ?? "", searchParams.get("after") ?? "");
            return sendJson(response, 200, found);
        }
        const found = table.read(key);
        if (found === undefined) {
            return sendJson(response, 404);
        }
        const knownTags = request.headers["if-none-match"];
        const changed = knownTags === undefined || passesIfNoneMatch(knownTags, found.tag);
        const headers = { etag: found.tag };
        return changed ? sendJson(response, 200, found.row, headers) : sendEmpty(response, 304, headers);
    },
    "PUT rows": async ({ request, response, key }, parts) => {
        const row = await readJson(request);
        const conditions = {
            ifMatch: request.headers["if-match"],
            ifNoneMatch: request.headers["if-none-match"],
        };
        // An unconditional write could overwrite the change of another operator (RFC 6585, status 428).
        if (conditions.ifMatch === undefined && conditions.ifNoneMatch === undefined) {
            return sendJson(response, 428, { title: "the write needs If-Match or If-None-Match" });
        }
        applyWrite(response, parts, () => parts.table.write(key, row, conditions));
    },
    "POST transactions": async ({ request, response }, parts) => {
        const transaction = (await readJson(request)) as Transaction;
        applyWrite(response, parts, () => parts.table.commit(transaction));
    },
    "GET objects": ({ response, key }, { objects }) => {
        const bytes = objects.read(key);
        if (bytes === undefined) {
            return sendJson(response, 404);
        }
        response.writeHead(200, { "content-type": "application/octet-stream", etag: `"${key}"` });
        response.end(bytes);
    },
    "PUT objects": async ({ request, response, key }, parts) => {
        const bytes = await readBody(request);
        applyWrite(response, parts, () => parts.objects.write(key, bytes));
    },
};

/**
 * Serves one request. `/control` works under every fault; other requests pass the faults and the rate limits
 * before they reach a handler.
 */
export async function servePlatform(
    request: IncomingMessage,
    response: ServerResponse,
    parts: PlatformParts,
): Promise<void> {
    const url = new URL(request.url ?? "/", "http://platform");
    if (url.pathname === "/control") {
        return serveControl(request, response, parts);
    }
    const { outage, silent, delayMs } = parts.board.read("faults");
    if (outage) {
        request.socket.destroy();
        return;
    }
    if (silent) {
        request.resume();
        return;
    }
    if (delayMs > 0) {
        await sleep(delayMs, undefined, { ref: false });
    }
    if (!parts.limits.admit(request.method === "GET")) {
        return sendJson(response, 429, undefined, { "retry-after": "1" });
    }
    const [, , collection = "", key = ""] = url.pathname.split("/");
    const handler = handlers[`${request.method} ${collection}`];
    if (handler === undefined) {
        return sendJson(response, 404);
    }
    return handler({ request, response, url, key: decodeURIComponent(key) }, parts);
}

async function serveControl(
    request: IncomingMessage,
    response: ServerResponse,
    { board, faultControl }: PlatformParts,
): Promise<void> {
    if (request.method === "PUT") {
        faultControl.change((await readJson(request)) as Partial<PlatformFaults>);
    }
    sendJson(response, 200, { faults: board.read("faults"), counters: board.read("counters") });
}

/** Applies a write. The fault `loseRequests` drops the write itself, `loseAnswers` only its response. */
function applyWrite(
    response: ServerResponse,
    { faultControl, limits }: PlatformParts,
    write: () => string | undefined,
): void {
    if (faultControl.consume("loseRequests")) {
        limits.noteLost();
        response.destroy();
        return;
    }
    const tag = write();
    if (faultControl.consume("loseAnswers")) {
        limits.noteLost();
        response.destroy();
        return;
    }
    sendJson(response, tag === undefined ? 412 : 200, undefined, tag === undefined ? {} : { etag: tag });
}

/** Sends a response without content and content type, as 304 requires. */
function sendEmpty(response: ServerResponse, status: number, headers: Record<string, string>): void {
    response.writeHead(status, headers);
    response.end();
}
