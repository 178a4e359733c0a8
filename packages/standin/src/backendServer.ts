import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { createAnnouncer } from "./backend/announcer.js";
import {
    createBackendBoard,
    ReportedHealth,
    reportedLoadOf,
    stateOf,
    type BackendBoard,
    type BackendCounters,
    type BackendFaults,
} from "./backend/board.js";
import { serveCall, type BackendParts } from "./backend/calls.js";
import { createFaultControl } from "./backend/faultControl.js";
import { createCounters } from "./backend/counters.js";
import { createRunRecorder } from "./backend/runLedger.js";
import { closeServer, listen, readJson, sendJson } from "./http/messages.js";
import type { RunLedger } from "./ledger.js";

export { ReportedHealth, type BackendCounters, type BackendFaults } from "./backend/board.js";

export interface BackendServerOptions {
    id: string;
    service: string;
    /** @default 0, a free port */
    port?: number;
    /** @default 20 */
    slots?: number;
    /** @default 130 */
    connections?: number;
    /**
     * Time after the start during which calls are slower, in milliseconds.
     * @default 0
     */
    coldStartMs?: number;
    faults?: Partial<BackendFaults>;
    /** Daemon that receives the announcements; without it none are sent. */
    daemon?: { url: string; token: string };
}

export interface StandInBackendServer {
    /** `address:port` */
    readonly address: string;
    readonly url: string;
    setFaults(faults: Partial<BackendFaults>): void;
    counters(): BackendCounters;
    ledger(): RunLedger;
    /** Announces `draining`, refuses new calls and waits for those in flight; returns whether all of them ended. */
    drain(timeoutMs: number): Promise<boolean>;
    close(): Promise<void>;
}

type Handler = (
    request: IncomingMessage,
    response: ServerResponse,
    parts: BackendParts,
) => Promise<void> | void;

/** Endpoints of the stand-in itself; every other request is a call. */
const handlers: Readonly<Record<string, Handler>> = {
    "GET /ledger": (_request, response, { board }) => sendJson(response, 200, readLedger(board)),
    "GET /control": (_request, response, { board }) => sendControl(response, board),
    "PUT /control": async (request, response, { board, faultControl }) => {
        faultControl.change((await readJson(request)) as Partial<BackendFaults>);
        sendControl(response, board);
    },
    "GET /health": (_request, response, { board }) => {
        const healthy = healthHandlers[board.read("faults").health](board);
        sendJson(response, healthy ? 200 : 503, { healthy, load: reportedLoadOf(board) });
    },
};

const healthHandlers = {
    [ReportedHealth.Honest]: (board: BackendBoard) =>
        !board.read("faults").broken && !board.read("faults").draining,
    [ReportedHealth.AlwaysHealthy]: () => true,
    [ReportedHealth.AlwaysUnhealthy]: () => false,
} satisfies Record<ReportedHealth, (board: BackendBoard) => boolean>;

/** Interval at which `drain` checks for calls in flight. */
const drainPollMs = 20;

/**
 * Starts a stand-in backend server.
 *
 * @example
 * ```ts
 * const server = await startBackendServer({ id: "s1", service: "stock", slots: 12 });
 * server.setFaults({ shed: true });
 * await server.close();
 * ```
 */
export async function startBackendServer(options: BackendServerOptions): Promise<StandInBackendServer> {
    const { id, service, slots = 20, connections = 130, coldStartMs = 0 } = options;
    const identity = { id, service, slots, connections, coldStartMs, startedAt: Date.now() };
    const board = createBackendBoard(identity, options.faults ?? {});
    const counters = createCounters(board);
    const faultControl = createFaultControl(board);
    const parts: BackendParts = { board, counters, faultControl, recorder: createRunRecorder(board) };
    const server = createServer((request, response) => {
        const handler = handlers[`${request.method} ${request.url}`] ?? serveCall;
        Promise.resolve(handler(request, response, parts)).catch(() => response.destroy());
    });
    server.maxConnections = connections;
    server.on("connection", socket => {
        counters.add("connections");
        socket.once("close", () => counters.add("connections", -1));
    });
    const { address, url } = await listen(server, options.port);
    const announcer =
        options.daemon === undefined
            ? undefined
            : createAnnouncer(board, counters, {
                  daemon: options.daemon.url,
                  token: options.daemon.token,
                  address,
              });
    return {
        address,
        url,
        setFaults: faultControl.change,
        counters: () => board.read("counters"),
        ledger: () => readLedger(board),
        async drain(timeoutMs) {
            faultControl.change({ draining: true });
            const deadline = Date.now() + timeoutMs;
            while (board.read("counters").inFlight > 0 && Date.now() < deadline) {
                await sleep(drainPollMs);
            }
            return board.read("counters").inFlight === 0;
        },
        async close() {
            await announcer?.close();
            await closeServer(server);
            board.close();
        },
    };
}

function readLedger(board: BackendBoard): RunLedger {
    const { entries, dropped } = board.read("runs");
    const { id, service } = board.read("identity");
    return { backendServer: id, service, runs: entries, dropped };
}

function sendControl(response: ServerResponse, board: BackendBoard): void {
    sendJson(response, 200, {
        state: stateOf(board),
        faults: board.read("faults"),
        counters: board.read("counters"),
    });
}
