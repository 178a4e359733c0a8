import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { request as send } from "undici";

/** How the stand-in answers calls. */
export const AnswerMode = {
    Whole: "whole",
    /** 503 that says that the call did not run. */
    Shed: "shed",
    /** Another server has the address: 421. */
    Replaced: "replaced",
    /** Fewer bytes than the length says, then a reset. */
    Truncated: "truncated",
    /** No length, and a reset in the middle of the body. */
    UnframedReset: "unframedReset",
    /** No length, and the whole body before the end of the connection. */
    Unframed: "unframed",
    /** The id of another call. */
    OtherId: "otherId",
    /** No signature. */
    Unsigned: "unsigned",
    Encoded: "encoded",
    /** A second whole answer, with the id of the call before, behind the first. */
    Twice: "twice",
    /** Runs the call and closes the connection without an answer. */
    LostAnswer: "lostAnswer",
    /** 503 without a word on whether the call ran. */
    BarePromise: "barePromise",
    /** Answers before the body was read. */
    Early: "early",
} as const;
export type AnswerMode = (typeof AnswerMode)[keyof typeof AnswerMode];

export interface SiteRun {
    readonly id: string;
    readonly method: string;
    readonly url: string;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly bodyBytes: number;
    readonly startedAt: number;
    /** The connection closed before the answer was sent. */
    cancelled: boolean;
}

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
    /** Called when a call begins to run, before any of its work. */
    onRun?: (run: SiteRun) => void;
}

export interface SiteServer {
    readonly address: string;
    readonly runs: readonly SiteRun[];
    readonly arrivals: () => number;
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

interface SiteState {
    readonly options: Required<SiteServerOptions>;
    readonly runs: SiteRun[];
    arrivals: number;
    running: number;
    mode: AnswerMode;
    workMs: number;
    state: "ready" | "draining";
    sequence: number;
}

const answerBody = "answer of the backend server";

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
        onRun: () => {},
        ...options,
    };
    const state: SiteState = {
        options: resolved,
        runs: [],
        arrivals: 0,
        running: 0,
        mode: AnswerMode.Whole,
        workMs: resolved.workMs,
        state: "ready",
        sequence: 0,
    };
    const server = createServer((request, response) => {
        void serve(state, request, response);
    });
    const address = await listenOn(server, resolved.port);
    const announce = (change: Readonly<Record<string, unknown>> = {}) => beat(state, address, change);
    const timer = setInterval(() => void announce().catch(() => undefined), resolved.beatMs);
    // The daemon may start later; the next announcement finds it.
    await announce().catch(() => undefined);
    return {
        address,
        runs: state.runs,
        arrivals: () => state.arrivals,
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
    const mode = state.mode;
    const refuse = refusals[mode];
    if (refuse !== undefined) {
        request.resume();
        response.writeHead(refuse.status, refuse.headers).end();
        return;
    }
    const run: SiteRun = {
        id: String(request.headers["x-attempt-id"] ?? ""),
        method: request.method ?? "",
        url: request.url ?? "",
        headers: request.headers,
        bodyBytes: mode === AnswerMode.Early ? 0 : await countBody(request),
        startedAt: Date.now(),
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

async function countBody(request: IncomingMessage): Promise<number> {
    let bytes = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        bytes += chunk.length;
    }
    return bytes;
}

const refusals: { [K in AnswerMode]?: { status: number; headers: Record<string, string> } } = {
    [AnswerMode.Shed]: { status: 503, headers: { "x-not-executed": "1" } },
    [AnswerMode.Replaced]: { status: 421, headers: { "x-instance-id": "i-other" } },
};

function headersOf({ id }: SiteRun, { running, options }: SiteState): Record<string, string> {
    return {
        "x-attempt-id": id,
        "x-server-signature": "3e1b.07.5a2.600.0.c9f2a4d1",
        "x-server-load": `${running},0,${options.slots}`,
    };
}

function answerWhole(response: ServerResponse, run: SiteRun, state: SiteState): void {
    response.writeHead(200, { ...headersOf(run, state), "content-length": answerBody.length });
    response.end(answerBody);
}

/** Writes bytes to the connection beside the HTTP library, which would not send such an answer. */
function writeRaw(response: ServerResponse, head: readonly string[], body: string): Socket | undefined {
    const socket = response.socket ?? undefined;
    socket?.write(`HTTP/1.1 200 OK\r\n${head.join("\r\n")}\r\n\r\n${body}`);
    return socket;
}

function headLines(run: SiteRun, state: SiteState): string[] {
    return Object.entries(headersOf(run, state)).map(([name, value]) => `${name}: ${value}`);
}

/** Time between the bytes of a cut answer and its cut, so that both reach the daemon apart, in milliseconds. */
const cutAfterMs = 20;

type Answer = (response: ServerResponse, run: SiteRun, state: SiteState) => void;

const answers = {
    [AnswerMode.Whole]: answerWhole,
    [AnswerMode.Shed]: answerWhole,
    [AnswerMode.Replaced]: answerWhole,
    [AnswerMode.Early]: answerWhole,
    [AnswerMode.Truncated]: (response, run, state) => {
        const lines = [...headLines(run, state), `content-length: ${answerBody.length + 10}`];
        const socket = writeRaw(response, lines, answerBody);
        setTimeout(() => socket?.end(), cutAfterMs);
    },
    [AnswerMode.UnframedReset]: (response, run, state) => {
        const socket = writeRaw(response, [...headLines(run, state), "connection: close"], answerBody);
        setTimeout(() => socket?.resetAndDestroy(), cutAfterMs);
    },
    [AnswerMode.Unframed]: (response, run, state) => {
        const socket = writeRaw(response, [...headLines(run, state), "connection: close"], answerBody);
        setTimeout(() => socket?.end(), cutAfterMs);
    },
    [AnswerMode.OtherId]: (response, run, state) => {
        answerWhole(response, { ...run, id: "of-another-call" }, state);
    },
    [AnswerMode.Unsigned]: (response, run) => {
        response.writeHead(200, { "x-attempt-id": run.id }).end(answerBody);
    },
    [AnswerMode.Encoded]: (response, run, state) => {
        response.writeHead(200, { ...headersOf(run, state), "content-encoding": "gzip" }).end(answerBody);
    },
    [AnswerMode.Twice]: (response, run, state) => {
        const lines = [...headLines(run, state), `content-length: ${answerBody.length}`];
        const again = `HTTP/1.1 200 OK\r\n${lines.join("\r\n")}\r\n\r\n${answerBody}`;
        writeRaw(response, lines, `${answerBody}${again}`);
    },
    [AnswerMode.LostAnswer]: response => void response.socket?.resetAndDestroy(),
    [AnswerMode.BarePromise]: (response, run, state) => {
        response.writeHead(503, headersOf(run, state)).end();
    },
} satisfies Record<AnswerMode, Answer>;
