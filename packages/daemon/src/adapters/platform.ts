import {
    headKey,
    PlatformAnswer,
    PlatformOperation,
    type Head,
    type PlatformCommand,
    type PlatformRequest,
    type PlatformResult,
} from "@tanagertray/core";
import { Pool, type Dispatcher } from "undici";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";

/** Connections to the platform of one daemon. */
const maxConnections = 4;
/** Time for a read of the platform, in milliseconds. */
const readDeadlineMs = 2_000;
/** Time for a write of the platform, in milliseconds. */
const writeDeadlineMs = 5_000;

/** Carries out the platform requests on the blackboard and writes their replies and the last head row. */
export function createPlatformClient(board: Board): Closeable {
    const pool = new Pool(board.read("settings").platform.url, { connections: maxConnections });
    const replies = board.claimFeed("platformReplies");
    const state = board.claimValue("platformState");

    async function carryOut(command: PlatformCommand): Promise<void> {
        const result = await sendRequest(pool, command.request);
        noteReachability(result);
        noteHead(command.request, result);
        replies.append({ id: command.id, result });
    }

    function noteReachability(result: PlatformResult): void {
        const reachable = result.answer !== PlatformAnswer.Lost;
        const before = state_();
        if (before.reachable !== reachable) {
            state.write({ ...before, reachable, since: Date.now() });
        }
    }

    function noteHead(request: PlatformRequest, result: PlatformResult): void {
        const readsHead = request.operation === PlatformOperation.ReadRow && request.key === headKey;
        if (!readsHead || !answersOfHead.has(result.answer)) {
            return;
        }
        const before = state_();
        const head = result.answer === PlatformAnswer.Row ? (result.row as Head) : undefined;
        // The platform may serve an older row than before.
        const newer = head !== undefined && head.version > (before.head?.version ?? 0) ? head : before.head;
        state.write({ ...before, headRead: true, headReadAt: Date.now(), head: newer });
    }

    const state_ = () => board.read("platformState");
    const subscriptions = (["headReads", "objectReads", "revisionIo"] as const).map(feed =>
        board.follow(feed, command => void carryOut(command)),
    );
    return {
        async close() {
            subscriptions.forEach(subscription => subscription.close());
            await pool.destroy();
        },
    };
}

const answersOfHead: ReadonlySet<string> = new Set([
    PlatformAnswer.Row,
    PlatformAnswer.Missing,
    PlatformAnswer.Unchanged,
]);

/** Sends one request; every failure is a result. */
async function sendRequest(pool: Dispatcher, request: PlatformRequest): Promise<PlatformResult> {
    const exchange = exchanges[request.operation] as Exchange<PlatformRequest>;
    try {
        const { method, path, headers, body, deadlineMs } = exchange.encode(request);
        const response = await pool.request({
            method,
            path,
            headers,
            ...(body === undefined ? {} : { body }),
            signal: AbortSignal.timeout(deadlineMs),
        });
        const bytes = new Uint8Array(await response.body.arrayBuffer());
        return (
            decodeStatus(response.statusCode) ??
            exchange.decode(bytes, String(response.headers["etag"] ?? ""))
        );
    } catch (error) {
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
    readonly deadlineMs: number;
}

interface Exchange<R> {
    readonly encode: (request: R) => EncodedRequest;
    readonly decode: (bytes: Uint8Array, tag: string) => PlatformResult;
}

type RequestOf<K> = Extract<PlatformRequest, { operation: K }>;

const exchanges: { [K in PlatformOperation]: Exchange<RequestOf<K>> } = {
    [PlatformOperation.ReadRow]: {
        encode: request => ({
            method: "GET",
            path: rowPath(request.key),
            headers: request.knownTag === undefined ? {} : { "if-none-match": request.knownTag },
            deadlineMs: readDeadlineMs,
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
            deadlineMs: readDeadlineMs,
        }),
        decode: bytes => ({ answer: PlatformAnswer.Rows, rows: parseJson(bytes) as never }),
    },
    [PlatformOperation.ReadObject]: {
        encode: request => ({
            method: "GET",
            path: `/v1/objects/${request.hash}`,
            headers: {},
            deadlineMs: readDeadlineMs,
        }),
        decode: bytes => ({ answer: PlatformAnswer.Object, bytes }),
    },
    [PlatformOperation.WriteObject]: {
        encode: request => ({
            method: "PUT",
            path: `/v1/objects/${request.hash}`,
            headers: { "content-type": "application/octet-stream" },
            body: request.bytes,
            deadlineMs: writeDeadlineMs,
        }),
        decode: (_bytes, tag) => ({ answer: PlatformAnswer.Written, tag }),
    },
};

/** A write that depends on other rows is a transaction; any other is a conditional `PUT` of the row. */
function encodeWrite(request: RequestOf<typeof PlatformOperation.WriteRow>): EncodedRequest {
    const base = { headers: { "content-type": "application/json" }, deadlineMs: writeDeadlineMs };
    if (request.unchanged !== undefined) {
        const write = { key: request.key, row: request.row, tag: request.expectedTag };
        const body = JSON.stringify({ unchanged: request.unchanged, write });
        return { ...base, method: "POST", path: "/v1/transactions", body };
    }
    const condition: Record<string, string> =
        request.expectedTag === undefined ? { "if-none-match": "*" } : { "if-match": request.expectedTag };
    const headers = { ...base.headers, ...condition };
    return { ...base, method: "PUT", path: rowPath(request.key), headers, body: JSON.stringify(request.row) };
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
    429: { answer: PlatformAnswer.Refused, message: "the platform limits the rate of requests" },
};

const firstServerError = 500;

function decodeStatus(status: number): PlatformResult | undefined {
    if (status >= firstServerError) {
        return { answer: PlatformAnswer.Lost, message: `the platform answered ${status}` };
    }
    return resultsByStatus[status];
}
