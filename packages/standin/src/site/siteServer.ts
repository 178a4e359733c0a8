import { createHash } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { request as sendRequest } from "undici";
import { createStallMonitor, type StallMonitor } from "../stallMonitor.js";
import { answers, prepareRefusal } from "./siteAnswers.js";
import { AnswerMode, type SiteRun } from "./siteRun.js";

export interface SiteServerOptions {
    id: string;
    service: string;
    /** `address:port` at which the daemon on the same host receives announcements. */
    daemon: string;
    /** @default 8 */
    slots?: number;
    /** @default 0 */
    workMs?: number;
    /**
     * Announced start time, in milliseconds since the epoch.
     * @default Date.now()
     */
    born?: number;
    /** @default 200 */
    announcementIntervalMs?: number;
    /** @default 0, a free port */
    port?: number;
    /**
     * Address to announce, if the backend server is behind a relay.
     * @default the address that it listens on
     */
    announced?: string;
    /**
     * Whether to refuse calls whose `x-expected-instance` names another backend server.
     * @default false
     */
    checksInstance?: boolean;
    /** Called when a call starts to run, before its work is done. */
    onRun?: (run: SiteRun) => void;
}

export interface SiteServer {
    readonly id: string;
    /** Announced start time, in milliseconds since the epoch. */
    readonly born: number;
    readonly address: string;
    readonly runs: readonly SiteRun[];
    readonly requestCount: () => number;
    /** Bytes written by the modes with an endless response. */
    readonly endlessBytesWritten: () => number;
    setMode(mode: AnswerMode): void;
    setWorkMs(workMs: number): void;
    /** Announces `draining`; resolves with the status of the daemon's response. */
    drain(): Promise<number>;
    /** Removes itself from the daemon without draining; resolves with the status of the daemon's response. */
    deregister(): Promise<number>;
    /** Sends one announcement, with the given fields in place of its own. */
    announce(change?: Readonly<Record<string, unknown>>): Promise<number>;
    stopAnnouncing(): void;
    close(): Promise<void>;
}

export interface SiteState {
    readonly options: Required<SiteServerOptions>;
    readonly runs: SiteRun[];
    requestCount: number;
    running: number;
    readonly stallMonitor: StallMonitor;
    mode: AnswerMode;
    workMs: number;
    state: "ready" | "draining";
    sequence: number;
    /** Bytes written by the modes with an endless response. */
    endlessBytesWritten: number;
}

/**
 * Starts a stand-in for a backend server of the users' platform that announces itself to the daemon on its host.
 *
 * @example
 * ```ts
 * const server = await startSiteServer({ id: "i-1", service: "stock", daemon: "127.0.0.1:8306" });
 * server.setMode(AnswerMode.Truncated);
 * ```
 */
export async function startSiteServer(options: SiteServerOptions): Promise<SiteServer> {
    const resolved = {
        slots: 8,
        workMs: 0,
        born: Date.now(),
        announcementIntervalMs: 200,
        port: 0,
        announced: "",
        checksInstance: false,
        onRun: () => {},
        ...options,
    };
    const state: SiteState = {
        options: resolved,
        runs: [],
        requestCount: 0,
        running: 0,
        stallMonitor: createStallMonitor(),
        mode: AnswerMode.Complete,
        workMs: resolved.workMs,
        state: "ready",
        sequence: 0,
        endlessBytesWritten: 0,
    };
    const server = createServer((request, response) => {
        // A caller that disconnects while sending the body must only fail its own call.
        serve(state, request, response).catch(() => response.destroy());
    });
    const address = await listenOn(server, resolved.port);
    const announced = resolved.announced === "" ? address : resolved.announced;
    const announce = (change: Readonly<Record<string, unknown>> = {}) =>
        sendAnnouncement(state, announced, change);
    const timer = setInterval(() => void announce().catch(() => undefined), resolved.announcementIntervalMs);
    // The daemon may not be running yet; the next announcement tries again.
    await announce().catch(() => undefined);
    return {
        id: resolved.id,
        born: resolved.born,
        address,
        runs: state.runs,
        requestCount: () => state.requestCount,
        endlessBytesWritten: () => state.endlessBytesWritten,
        setMode: mode => (state.mode = mode),
        setWorkMs: workMs => (state.workMs = workMs),
        drain() {
            state.state = "draining";
            return announce();
        },
        async deregister() {
            clearInterval(timer);
            return requestStatus("DELETE", `http://${resolved.daemon}/-/instances/${resolved.id}`);
        },
        announce,
        stopAnnouncing: () => clearInterval(timer),
        async close() {
            clearInterval(timer);
            state.stallMonitor.close();
            server.closeAllConnections();
            await new Promise<void>(resolve => server.close(() => resolve()));
        },
    };
}

async function listenOn(server: Server, port: number): Promise<string> {
    await new Promise<void>(resolve => server.listen(port, "127.0.0.1", resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function sendAnnouncement(
    state: SiteState,
    address: string,
    change: Readonly<Record<string, unknown>>,
): Promise<number> {
    const { id, service, slots, daemon, born } = state.options;
    state.sequence += 1;
    const body = {
        service,
        address,
        zone: "a",
        version: "v1",
        "concurrency-slots": slots,
        state: state.state,
        "cold-remaining": "0ms",
        sequence: state.sequence,
        born,
        ...change,
    };
    return requestStatus("PUT", `http://${daemon}/-/instances/${id}`, JSON.stringify(body));
}

async function requestStatus(method: "PUT" | "DELETE", url: string, body?: string): Promise<number> {
    const response = await sendRequest(url, {
        method,
        ...(body === undefined ? {} : { body, headers: { "content-type": "application/json" } }),
    });
    await response.body.dump();
    return response.statusCode;
}

async function serve(state: SiteState, request: IncomingMessage, response: ServerResponse): Promise<void> {
    state.requestCount += 1;
    const expected = request.headers["x-expected-instance"];
    const isMisdirected = state.options.checksInstance && expected !== state.options.id;
    const mode = isMisdirected ? AnswerMode.Replaced : state.mode;
    const id = String(request.headers["x-attempt-id"] ?? "");
    const refusal = prepareRefusal(mode, id, request.socket);
    if (refusal !== undefined) {
        request.resume();
        response.writeHead(refusal.status, refusal.headers).end();
        return;
    }
    const body = mode === AnswerMode.Early ? unreadBody : await readBody(request);
    const run: SiteRun = {
        id,
        number: state.runs.length + 1,
        method: request.method ?? "",
        url: request.url ?? "",
        headers: request.headers,
        bodyBytes: body.bytes,
        hash: body.hash,
        startedAt: Date.now(),
        stalledMs: state.stallMonitor.recentMs(),
        mode,
        cancelled: false,
    };
    state.runs.push(run);
    state.options.onRun(run);
    state.running += 1;
    response.once("close", () => (run.cancelled = !response.writableFinished));
    if (state.workMs > 0) {
        await sleep(state.workMs);
    }
    state.running -= 1;
    if (!response.destroyed) {
        answers[mode](response, run, state);
    }
}

interface ReceivedBody {
    readonly bytes: number;
    readonly hash: string;
}

const unreadBody: ReceivedBody = { bytes: 0, hash: "" };

async function readBody(request: IncomingMessage): Promise<ReceivedBody> {
    const hash = createHash("sha256");
    let bytes = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        hash.update(chunk);
    }
    return { bytes, hash: hash.digest("hex") };
}
