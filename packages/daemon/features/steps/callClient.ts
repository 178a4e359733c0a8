import { randomUUID } from "node:crypto";
import { request as httpRequest, type Agent, type IncomingMessage as Request } from "node:http";
import { connect } from "node:net";
import type { TestHost } from "./callFixture.js";

export interface Answer {
    readonly status: number;
    readonly headers: Request["headers"];
    readonly body: Buffer;
    readonly reset: boolean;
}

export interface CallOptions {
    readonly method?: string;
    readonly path: string;
    readonly body?: Buffer;
    readonly chunked?: boolean;
    readonly headers?: Record<string, string | string[]>;
    readonly signal?: AbortSignal;
    readonly callId?: string;
    readonly agent?: Agent;
}

/** Makes one call through a daemon. If the connection is reset, the result has `reset` set. */
export function call(host: TestHost, options: CallOptions): Promise<Answer & { callId: string }> {
    const callId = options.callId ?? randomUUID();
    return new Promise(resolve => {
        let answer = { status: 0, headers: {}, body: Buffer.alloc(0), reset: true, callId };
        const request = httpRequest({
            port: host.calls.port,
            host: "127.0.0.1",
            agent: options.agent ?? false,
            method: options.method ?? "GET",
            path: `/orders${options.path}`,
            headers: {
                "tanagertray-caller": "crews",
                "tanagertray-call-id": callId,
                ...(options.body === undefined || options.chunked === true
                    ? {}
                    : { "content-length": String(options.body.length) }),
                ...options.headers,
            },
            ...(options.signal === undefined ? {} : { signal: options.signal }),
        });
        request.on("response", response => {
            const chunks: Buffer[] = [];
            response.on("data", chunk => chunks.push(chunk as Buffer));
            response.on("error", () => undefined);
            response.on("close", () => {
                const { statusCode: status = 0, headers } = response;
                answer = { status, headers, body: Buffer.concat(chunks), reset: !response.complete, callId };
                resolve(answer);
            });
        });
        request.on("error", () => setTimeout(() => resolve(answer), 20));
        request.end(options.body);
    });
}

/** Sends raw text and returns all data received until the connection closes. */
export function sendRaw(host: TestHost, text: string): Promise<string> {
    return new Promise(resolve => {
        let received = "";
        const socket = connect(host.calls.port, "127.0.0.1", () => socket.write(text));
        socket.on("data", chunk => (received += chunk.toString()));
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(received));
        setTimeout(() => socket.destroy(), 400);
    });
}
