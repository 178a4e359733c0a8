import { createBoard, resolveSettings, type Board, type Closeable } from "@tanagertray/daemon";
import { createPeers } from "@tanagertray/daemon/adapters/peers/peers";
import { createWebSocketTransport } from "@tanagertray/daemon/adapters/peers/webSocketTransport";
import { createMembership } from "@tanagertray/daemon/controllers/membership";
import { createTopology } from "@tanagertray/daemon/controllers/topology";
import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** A blackboard with a peer adapter on its own port and a simulated clock. */
export interface TestDaemon {
    readonly host: string;
    readonly address: string;
    readonly board: Board;
    readonly server: Server;
    readonly events: { name: string; fields: Record<string, unknown> }[];
    tick(ms: number): void;
    /** Advances the clock as after a pause of the process. */
    pause(ms: number): void;
    close(): Promise<void>;
}

export interface TestDaemonOptions {
    readonly host: string;
    readonly region?: string;
    readonly keys?: readonly string[];
    readonly peers?: readonly string[];
    readonly server?: Server;
    readonly membership?: boolean;
}

/** Opens a loopback listener on a free port. */
export async function listenOnLoopback(): Promise<Server> {
    const server = createServer((_request, response) => response.writeHead(404).end());
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return server;
}

export function addressOf(server: Server): string {
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

export async function startTestDaemon(options: TestDaemonOptions): Promise<TestDaemon> {
    const server = options.server ?? (await listenOnLoopback());
    const address = addressOf(server);
    const settings = resolveSettings({
        host: options.host,
        failureDomain: options.host.slice(0, 1),
        region: options.region ?? "r1",
        listen: { calls: "127.0.0.1:1", peer: address, admin: "127.0.0.1:1" },
        platform: { url: "http://127.0.0.1:1" },
        peers: [...(options.peers ?? [])],
        keys: { operator: [], backendServer: [], peer: [...(options.keys ?? ["key"])] },
    });
    const start = 1_000_000;
    const board = createBoard(settings, start);
    const clock = board.claimValue("clock");
    const events: TestDaemon["events"] = [];
    board.follow("peerEvents", event => events.push(event));
    const controllers: Closeable[] = options.membership
        ? [createMembership(board, { random: () => 0 }), createTopology(board)]
        : [];
    const peers = createPeers(board, { transport: createWebSocketTransport(server), random: () => 0 });
    return {
        host: options.host,
        address,
        board,
        server,
        events,
        tick: ms => clock.write({ now: board.read("clock").now + ms, pausedForMs: 0 }),
        pause: ms => clock.write({ now: board.read("clock").now + ms, pausedForMs: ms }),
        async close() {
            await peers.close();
            controllers.forEach(controller => controller.close());
            board.close();
            server.closeAllConnections();
            await new Promise(resolve => server.close(resolve));
        },
    };
}

/** Simulated time per step. */
const stepMs = 100;
/** Real time per step, in which the sockets deliver their messages. */
const realStepMs = 3;

/** Advances all clocks together until the condition holds. Fails after the given simulated time. */
export async function runUntil(
    daemons: readonly TestDaemon[],
    limitMs: number,
    condition: () => boolean,
): Promise<void> {
    for (let elapsed = 0; elapsed < limitMs && !condition(); elapsed += stepMs) {
        daemons.forEach(daemon => daemon.tick(stepMs));
        await sleep(realStepMs);
    }
    assert.ok(condition(), `condition not met within ${limitMs} ms of simulated time`);
}

/** Advances all clocks together by the given simulated time. */
export async function runFor(daemons: readonly TestDaemon[], ms: number): Promise<void> {
    let elapsed = 0;
    await runUntil(daemons, ms + stepMs, () => (elapsed += stepMs) > ms);
}
