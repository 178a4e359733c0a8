import {
    PlatformAnswer,
    PlatformOperation,
    type PlatformRequest,
    type PlatformResult,
} from "@tanagertray/core";
import { Pool, type Dispatcher } from "undici";
import type { Board } from "../../board.js";
import { connectTimeoutMs } from "../calls/constants.js";
import { maxMessageBytes } from "../peers/constants.js";
import { createRenewablePool, type RenewablePool } from "../renewablePool.js";
import { untilAborted } from "../untilAborted.js";
import { maxRequestsInFlight, type PlatformTransport } from "./platformClient.js";

/** Timeout of reads, in milliseconds. */
const readTimeoutMs = 2_000;
/** Timeout of writes, in milliseconds. */
const writeTimeoutMs = 5_000;
/** Limit of a response body, in bytes: four times the largest message between daemons, which carries the same parts. */
const maxResponseBytes = 4 * maxMessageBytes;

/** Creates a transport for the project's own HTTP API of the table service and object store. */
export function createHttpTransport(board: Board): PlatformTransport {
    const { url } = board.read("settings").platform;
    const connections = createRenewablePool(
        () =>
            new Pool(url, {
                connections: maxRequestsInFlight,
                // The kernel repeats a lost opening packet after a second; a new connection then gets through sooner.
                connect: { timeout: connectTimeoutMs },
                maxResponseSize: maxResponseBytes,
            }),
    );
    return { send: request => sendRequest(connections, request), close: () => connections.destroy() };
}

async function sendRequest(connections: RenewablePool, request: PlatformRequest): Promise<PlatformResult> {
    const codec = operationCodecs[request.operation] as OperationCodec<PlatformRequest>;
    const pool = connections.current();
    try {
        const { method, path, headers, body, timeoutMs } = codec.encode(request);
        const signal = AbortSignal.timeout(timeoutMs);
        const readResult = async () => {
            const response = await pool.request({
                method,
                path,
                headers,
                ...(body === undefined ? {} : { body }),
                signal,
            });
            const bytes = new Uint8Array(await response.body.arrayBuffer());
            return (
                decodeStatus(response.statusCode) ??
                codec.decode(bytes, String(response.headers["etag"] ?? ""))
            );
        };
        return await untilAborted(signal, readResult());
    } catch (error) {
        connections.renew(pool);
        return {
            answer: PlatformAnswer.Lost,
            message: error instanceof Error ? error.message : String(error),
        };
    }
}

interface EncodedRequest {
    readonly method: Dispatcher.HttpMethod;
    readonly path: string;
    readonly headers: Record<string, string>;
    readonly body?: string | Uint8Array;
    readonly timeoutMs: number;
}

interface OperationCodec<R> {
    readonly encode: (request: R) => EncodedRequest;
    readonly decode: (bytes: Uint8Array, entityTag: string) => PlatformResult;
}

type RequestOf<K> = Extract<PlatformRequest, { operation: K }>;

const operationCodecs: { [K in PlatformOperation]: OperationCodec<RequestOf<K>> } = {
    [PlatformOperation.ReadRow]: {
        encode: request => ({
            method: "GET",
            path: rowPath(request.key),
            headers: request.knownTag === undefined ? {} : { "if-none-match": request.knownTag },
            timeoutMs: readTimeoutMs,
        }),
        decode: (bytes, tag) => ({ answer: PlatformAnswer.Row, row: parseJson(bytes), tag }),
    },
    [PlatformOperation.WriteRow]: {
        encode: encodeWrite,
        decode: (_bytes, tag) => ({ answer: PlatformAnswer.Written, tag }),
    },
    [PlatformOperation.ListRows]: {
        encode: request => ({
            method: "GET",
            path: `/v1/rows?${new URLSearchParams({ prefix: request.prefix, after: request.after ?? "" })}`,
            headers: {},
            timeoutMs: readTimeoutMs,
        }),
        decode: bytes => ({ answer: PlatformAnswer.Rows, rows: parseJson(bytes) as never }),
    },
    [PlatformOperation.ReadObject]: {
        encode: request => ({
            method: "GET",
            path: `/v1/objects/${request.hash}`,
            headers: {},
            timeoutMs: readTimeoutMs,
        }),
        decode: bytes => ({ answer: PlatformAnswer.Object, bytes }),
    },
    [PlatformOperation.WriteObject]: {
        encode: request => ({
            method: "PUT",
            path: `/v1/objects/${request.hash}`,
            headers: { "content-type": "application/octet-stream" },
            body: request.bytes,
            timeoutMs: writeTimeoutMs,
        }),
        decode: (_bytes, tag) => ({ answer: PlatformAnswer.Written, tag }),
    },
};

/** Encodes a write that depends on other rows as a transaction, and any other write as a conditional `PUT` of the row. */
function encodeWrite(request: RequestOf<typeof PlatformOperation.WriteRow>): EncodedRequest {
    const common = { headers: { "content-type": "application/json" }, timeoutMs: writeTimeoutMs };
    if (request.unchanged !== undefined) {
        const write = { key: request.key, row: request.row, tag: request.expectedTag };
        const body = JSON.stringify({ unchanged: request.unchanged, write });
        return { ...common, method: "POST", path: "/v1/transactions", body };
    }
    const condition: Record<string, string> =
        request.expectedTag === undefined ? { "if-none-match": "*" } : { "if-match": request.expectedTag };
    const headers = { ...common.headers, ...condition };
    return {
        ...common,
        method: "PUT",
        path: rowPath(request.key),
        headers,
        body: JSON.stringify(request.row),
    };
}

function rowPath(key: string): string {
    return `/v1/rows/${encodeURIComponent(key)}`;
}

function parseJson(bytes: Uint8Array): unknown {
    return JSON.parse(Buffer.from(bytes).toString("utf8"));
}

const resultsByStatus: Readonly<Record<number, PlatformResult>> = {
    304: { answer: PlatformAnswer.Unchanged },
    404: { answer: PlatformAnswer.Missing },
    412: { answer: PlatformAnswer.Conflict },
    429: {
        answer: PlatformAnswer.Refused,
        message: "the platform refused the request with status 429 (rate limit)",
    },
};

/** The server timed out while waiting for the request. A write may still have taken effect. */
const requestTimeoutStatus = 408;

/** Returns the result that a status implies, or `undefined` for a success, whose body the operation decodes. */
function decodeStatus(status: number): PlatformResult | undefined {
    const knownResult = resultsByStatus[status];
    if (knownResult !== undefined || (status >= 200 && status < 300)) {
        return knownResult;
    }
    const message = `the platform responded with status ${status}`;
    const isRefusal = status >= 400 && status < 500 && status !== requestTimeoutStatus;
    return { answer: isRefusal ? PlatformAnswer.Refused : PlatformAnswer.Lost, message };
}
