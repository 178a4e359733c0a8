import { createRunBody, siteHostName } from "@tanagertray/standin";
import { request as send, type Agent, type IncomingMessage } from "node:http";
import type { Call } from "./board.js";

export const CallKind = { Safe: "safe", Unsafe: "unsafe", Upload: "upload" } as const;
export type CallKind = (typeof CallKind)[keyof typeof CallKind];

/** How the client handles the response of a call. */
export const ClientBehavior = {
    WaitForAnswer: "stay",
    DisconnectEarly: "leaveEarly",
    ReadSlowly: "readSlowly",
} as const;
export type ClientBehavior = (typeof ClientBehavior)[keyof typeof ClientBehavior];

/** Timeout of the routes, in milliseconds. Shorter than the shutdown grace period of a daemon. */
export const routeTimeoutMs = 1_500;
/** Time past the deadline after which a client stops waiting for the response, in milliseconds. */
const answerGraceMs = 500;
/** Pause of a slow reader after each chunk of a body, in milliseconds. */
const readPauseMs = 15;

export interface CallPlan {
    readonly id: string;
    readonly kind: CallKind;
    readonly path: string;
    readonly manner: ClientBehavior;
    /** Size of the response body, in bytes. */
    readonly size: number;
    /** Size of the request body, in bytes. */
    readonly bodyBytes: number;
    /** The request body is sent with chunked transfer encoding. */
    readonly isChunked: boolean;
    /** SHA-256 of the request body, in hexadecimal. */
    readonly hash: string;
    readonly deadlineMs: number;
    /** Delay before a client that disconnects early closes the connection, in milliseconds. */
    readonly leaveAfterMs: number;
}

export interface CallOptions {
    readonly body: Buffer;
    /** `address:port` of the daemon. */
    readonly address: string;
    /** `false` opens a new connection for this call. */
    readonly agent: Agent | false;
}

type CallResult = Omit<Call, "host">;
type Mutable<T> = { -readonly [K in keyof T]: T[K] };

const disconnectAfterMs = {
    [ClientBehavior.WaitForAnswer]: ({ deadlineMs }) => deadlineMs + answerGraceMs,
    [ClientBehavior.ReadSlowly]: ({ deadlineMs }) => deadlineMs + answerGraceMs,
    [ClientBehavior.DisconnectEarly]: plan => plan.leaveAfterMs,
} satisfies Record<ClientBehavior, (plan: CallPlan) => number>;

const onBodyChunk = {
    [ClientBehavior.WaitForAnswer]: () => {},
    [ClientBehavior.DisconnectEarly]: () => {},
    [ClientBehavior.ReadSlowly]: response => {
        response.pause();
        setTimeout(() => response.resume(), readPauseMs);
    },
} satisfies Record<ClientBehavior, (response: IncomingMessage) => void>;

/** Sends a call and resolves with the result that its client saw. Never rejects. */
export function makeCall(plan: CallPlan, { body, address, agent }: CallOptions): Promise<CallResult> {
    const result: Mutable<CallResult> = {
        ...plan,
        sentAt: Date.now(),
        endedAt: 0,
        hasLeft: false,
        isComplete: false,
        isOwn: false,
    };
    const [host = "", port] = address.split(":");
    return new Promise(resolve => {
        function finish(fields: Partial<CallResult>): void {
            clearTimeout(timer);
            if (result.endedAt === 0) {
                Object.assign(result, fields, { endedAt: Date.now() });
                resolve(result);
            }
        }
        const request = send({
            host,
            port,
            agent,
            path: `${plan.path}?size=${plan.size}`,
            method: plan.kind === CallKind.Safe ? "GET" : "POST",
            headers: {
                host: siteHostName,
                "x-attempt-id": plan.id,
                "x-request-deadline": String(plan.deadlineMs),
                ...(plan.isChunked
                    ? { "transfer-encoding": "chunked" }
                    : { "content-length": plan.bodyBytes }),
            },
        });
        const timer = setTimeout(() => {
            finish({ hasLeft: true });
            request.destroy();
        }, disconnectAfterMs[plan.manner](plan));
        request.once("error", error => finish({ error: error.message }));
        request.once("response", response => {
            const chunks: Buffer[] = [];
            result.status = response.statusCode ?? 0;
            result.retryAfter = response.headers["retry-after"] ?? "";
            response.on("data", (chunk: Buffer) => {
                chunks.push(chunk);
                onBodyChunk[plan.manner](response);
            });
            response.once("error", error => finish({ error: error.message }));
            response.once("end", () => {
                const isOwn = isBodyOf(plan, response, Buffer.concat(chunks));
                finish({ isComplete: response.complete, isOwn });
            });
        });
        request.end(body);
    });
}

function isBodyOf({ id, hash, size }: CallPlan, { headers }: IncomingMessage, body: Buffer): boolean {
    const expected = createRunBody({
        id,
        hash,
        size,
        server: String(headers["x-server"]),
        number: Number(headers["x-run"]),
    });
    return headers["x-attempt-id"] === id && body.equals(Buffer.from(expected));
}
