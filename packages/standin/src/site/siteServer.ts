import { createHash } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { request as send } from "undici";
import { createStalls, type Stalls } from "../stalls.js";
import { answers, takeRefusal } from "./siteAnswers.js";
import { AnswerMode, type SiteRun } from "./siteRun.js";

export interface SiteServerOptions {
    id: string;
    service: string;
    /** Announcement address of the daemon on its host, `address:port`. */
    daemon: string;
    /** @default 8 */
    slots?: number;
    /** @default 0 */
    workMs?: number;
    /** @default Date.now() */
    born?: number;
    /** @default 200 */
    beatMs?: number;
    /** @default 0, a free port */
    port?: number;
    /**
     * Address that it announces, where a relay stands before it.
     * @default its own
     */
    announced?: string;
    /**
     * Refuses calls that expect another backend server at its address.
     * @default false
     */
    checksInstance?: boolean;
    /** Called when a call begins to run, before any of its work. */
    onRun?: (run: SiteRun) => void;
}

export interface SiteServer {
    readonly id: string;
    /** Milliseconds since the epoch at its start, as it announces them. */
    readonly born: number;
    readonly address: string;
    readonly runs: readonly SiteRun[];
    readonly arrivals: () => number;
    /** Bytes of answers without end that were written. */
    readonly flooded: () => number;
    setMode(mode: AnswerMode): void;
    setWorkMs(workMs: number): void;
    /** Announces `draining`; resolves with the status of the acknowledgement. */
    drain(): Promise<number>;
    /** Says that it leaves without having drained. */
    leave(): Promise<number>;
    /** Sends one announcement with other fields than its own. */
    announce(change?: Readonly<Record<string, unknown>>): Promise<number>;
    close(): Promise<void>;
}

export interface SiteState {
    readonly options: Required<SiteServerOptions>;
    readonly runs: SiteRun[];
    arrivals: number;
    running: number;
    readonly stalls: Stalls;
    mode: AnswerMode;
    workMs: number;
    state: "ready" | "draining";
    sequence: number;
    /** Bytes of answers without end that were written. */
    flooded: number;
}

/**
 * Starts a stand-in for a backend server of the users' platform, which announces itself to the daemon on its host.
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
        beatMs: 200,
        port: 0,
        announced: "",
        checksInstance: false,
        onRun: () => {},
        ...options,
    };
    const state: SiteState = {
        options: resolved,
        runs: [],
        arrivals: 0,
        running: 0,
        stalls: createStalls(),
        mode: AnswerMode.Whole,
        workMs: resolved.workMs,
        state: "ready",
        sequence: 0,
        flooded: 0,
    };
    const server = createServer((request, response) => {
        // A caller that leaves within a body ends that call alone.
        serve(state, request, response).catch(() => response.destroy());
    });
    const address = await listenOn(server, resolved.port);
    const announced = resolved.announced === "" ? address : resolved.announced;
    const announce = (change: Readonly<Record<string, unknown>> = {}) => beat(state, announced, change);
    const timer = setInterval(() => void announce().catch(() => undefined), resolved.beatMs);
    // The daemon may start later; the next announcement finds it.
    await announce().catch(() => undefined);
    return {
        id: resolved.id,
        born: resolved.born,
        address,
        runs: state.runs,
        arrivals: () => state.arrivals,
        flooded: () => state.flooded,
        setMode: mode => (state.mode = mode),
        setWorkMs: workMs => (state.workMs = workMs),
        drain() {
            state.state = "draining";
            return announce();
        },
        async leave() {
            clearInterval(timer);
            return statusOf("DELETE", `http://${resolved.daemon}/-/instances/${resolved.id}`);
        },
        announce,
        async close() {
            clearInterval(timer);
            state.stalls.close();
            server.closeAllConnections();
            await new Promise<void>(resolve => server.close(() => resolve()));
        },
    };
}

async function listenOn(server: Server, port: number): Promise<string> {
    await new Promise<void>(resolve => server.listen(port, "127.0.0.1", resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function beat(state: SiteState, address: string, change: Readonly<Record<string, unknown>>): Promise<number> {
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
    return statusOf("PUT", `http://${daemon}/-/instances/${id}`, JSON.stringify(body));
}

async function statusOf(method: "PUT" | "DELETE", url: string, body?: string): Promise<number> {
    const response = await send(url, {
        method,
        ...(body === undefined ? {} : { body, headers: { "content-type": "application/json" } }),
    });
    await response.body.dump();
    return response.statusCode;
}

async function serve(state: SiteState, request: IncomingMessage, response: ServerResponse): Promise<void> {
    state.arrivals += 1;
    const expected = request.headers["x-expected-instance"];
    const isMisdirected = state.options.checksInstance && expected !== state.options.id;
    const mode = isMisdirected ? AnswerMode.Replaced : state.mode;
    const id = String(request.headers["x-attempt-id"] ?? "");
    const refused = takeRefusal(mode, id, request.socket);
    if (refused !== undefined) {
        request.resume();
        response.writeHead(refused.status, refused.headers).end();
        return;
    }
    const body = mode === AnswerMode.Early ? unread : await readBody(request);
    const run: SiteRun = {
        id,
        number: state.runs.length + 1,
        method: request.method ?? "",
        url: request.url ?? "",
        headers: request.headers,
        bodyBytes: body.bytes,
        hash: body.hash,
        startedAt: Date.now(),
        stalledMs: state.stalls.recentMs(),
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

interface ReadBody {
    readonly bytes: number;
    readonly hash: string;
}

const unread: ReadBody = { bytes: 0, hash: "" };

async function readBody(request: IncomingMessage): Promise<ReadBody> {
    const hash = createHash("sha256");
    let bytes = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        hash.update(chunk);
    }
    return { bytes, hash: hash.digest("hex") };
}
