import { createRunBody, siteHostName } from "@tanagertray/standin";
import { request as send, type Agent, type IncomingMessage } from "node:http";
import type { Call } from "./board.js";

export const CallKind = { Safe: "safe", Unsafe: "unsafe", Upload: "upload" } as const;
export type CallKind = (typeof CallKind)[keyof typeof CallKind];

/** What the client does with the connection of a call. */
export const Manner = { Stay: "stay", LeaveEarly: "leaveEarly", ReadSlowly: "readSlowly" } as const;
export type Manner = (typeof Manner)[keyof typeof Manner];

/** Time-out of the routes, in milliseconds. Shorter than the grace of a daemon that is asked to stop. */
export const routeTimeoutMs = 1_500;
/** Time beyond the deadline after which a client gives an answer up, in milliseconds. */
const patienceMs = 500;
/** Pause of a slow reader after each part of a body, in milliseconds. */
const readPauseMs = 15;

export interface CallPlan {
    readonly id: string;
    readonly kind: CallKind;
    readonly path: string;
    readonly manner: Manner;
    /** Bytes of the answer's body. */
    readonly size: number;
    readonly bodyBytes: number;
    /** The body has no length in the head. */
    readonly isChunked: boolean;
    /** SHA-256 of the body, in hexadecimal. */
    readonly hash: string;
    readonly deadlineMs: number;
    /** When a client that leaves early does so, in milliseconds after the call. */
    readonly leaveAfterMs: number;
}

export interface CallOptions {
    readonly body: Buffer;
    /** `address:port` of the daemon. */
    readonly address: string;
    /** `false` opens a connection for the call. */
    readonly agent: Agent | false;
}

type CallEnd = Omit<Call, "host">;
type Mutable<T> = { -readonly [K in keyof T]: T[K] };

const leaveAfterMs = {
    [Manner.Stay]: ({ deadlineMs }) => deadlineMs + patienceMs,
    [Manner.ReadSlowly]: ({ deadlineMs }) => deadlineMs + patienceMs,
    [Manner.LeaveEarly]: plan => plan.leaveAfterMs,
} satisfies Record<Manner, (plan: CallPlan) => number>;

const onPart = {
    [Manner.Stay]: () => {},
    [Manner.LeaveEarly]: () => {},
    [Manner.ReadSlowly]: response => {
        response.pause();
        setTimeout(() => response.resume(), readPauseMs);
    },
} satisfies Record<Manner, (response: IncomingMessage) => void>;

/** Makes a call and says how it ended for its client. */
export function makeCall(plan: CallPlan, { body, address, agent }: CallOptions): Promise<CallEnd> {
    const end: Mutable<CallEnd> = {
        ...plan,
        sentAt: Date.now(),
        endedAt: 0,
        hasLeft: false,
        isComplete: false,
        isOwn: false,
    };
    const [host = "", port] = address.split(":");
    return new Promise(resolve => {
        function finish(fields: Partial<CallEnd>): void {
            clearTimeout(timer);
            if (end.endedAt === 0) {
                Object.assign(end, fields, { endedAt: Date.now() });
                resolve(end);
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
        }, leaveAfterMs[plan.manner](plan));
        request.once("error", error => finish({ error: error.message }));
        request.once("response", response => {
            const parts: Buffer[] = [];
            end.status = response.statusCode ?? 0;
            end.retryAfter = response.headers["retry-after"] ?? "";
            response.on("data", (part: Buffer) => {
                parts.push(part);
                onPart[plan.manner](response);
            });
            response.once("error", error => finish({ error: error.message }));
            response.once("end", () => {
                const isOwn = isBodyOf(plan, response, Buffer.concat(parts));
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
