import { After, Given, Then, When } from "@cucumber/cucumber";
import { createCancellation } from "@tanagertray/daemon/adapters/calls/cancellation";
import { exchange, type ExchangeResult } from "@tanagertray/daemon/adapters/calls/exchange";
import { createPools, type Pools } from "@tanagertray/daemon/adapters/calls/pools";
import { DispositionKind, type ResponseSink } from "@tanagertray/daemon/adapters/calls/disposition";
import type { Timers } from "@tanagertray/daemon/adapters/calls/timers";
import assert from "node:assert/strict";
import { randomUUID } from "node:crypto";
import { createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { eventually } from "./callWorld.js";

interface World {
    answerEnds: {
        readonly server: Server;
        readonly sockets: Socket[];
        readonly pools: Pools;
        readonly address: string;
        result: Promise<ExchangeResult>;
        body: string;
        isSlow: boolean;
        resume: (() => void) | undefined;
        /** Whether the end of the response was forwarded. */
        isEnded: boolean;
    };
}

const heads: Readonly<Record<string, string>> = {
    "without a length": "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nfirst half",
    "in chunks":
        "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\na\r\nfirst half\r\n",
    "204 and a length": "HTTP/1.1 204 No Content\r\ncontent-length: 5\r\n\r\n",
    "304 and a length": "HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n",
};

const endings: Readonly<Record<string, (socket: Socket) => void>> = {
    ends: socket => socket.end(", second half"),
    "is broken": socket => socket.end(),
    "is reset": socket => socket.resetAndDestroy(),
};

/** Time for bytes and resets on loopback to be processed, in milliseconds. */
const processingMs = 50;

/** Time for half a response to arrive on a busy machine, in milliseconds. */
const arrivalMs = 2_000;

async function waitForFirstHalf(ends: World["answerEnds"]): Promise<void> {
    assert.ok(await eventually(arrivalMs, () => ends.body === "first half"));
}

const timers: Timers = {
    after(ms, task) {
        const timer = setTimeout(task, ms);
        return { cancel: () => clearTimeout(timer) };
    },
    close: () => undefined,
};

function send({ answerEnds: ends }: World): Promise<ExchangeResult> {
    const sink: ResponseSink = {
        write(chunk) {
            ends.body += chunk.toString();
            return !ends.isSlow;
        },
        onceWritable: resume => (ends.resume = resume),
        end: () => void (ends.isEnded = true),
    };
    return exchange({
        connections: ends.pools.get(ends.address, 4),
        id: randomUUID(),
        idHeader: "tanagertray-call-id",
        method: "GET",
        path: "/",
        headers: [],
        body: null,
        cancellation: createCancellation(),
        timers,
        headIdleTimeoutMs: 0,
        mayWrite: () => true,
        onInformationalResponse: () => undefined,
        onHead: () => ({ kind: DispositionKind.Pass, sink }),
    });
}

async function openServer(world: World, framing: string): Promise<void> {
    const sockets: Socket[] = [];
    const server = createServer(socket => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.once("data", () => socket.write(heads[framing] ?? ""));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const pools = createPools(() => performance.now());
    world.answerEnds = {
        server,
        sockets,
        pools,
        address,
        result: new Promise(() => undefined),
        body: "",
        isSlow: false,
        resume: undefined,
        isEnded: false,
    };
}

Given(/^a backend server that sends half a response (.+)$/, async function (this: World, framing: string) {
    await openServer(this, framing);
    this.answerEnds.result = send(this);
    await waitForFirstHalf(this.answerEnds);
});

Given(/^a backend server that responds with status (.+)$/, async function (this: World, kind: string) {
    await openServer(this, kind);
});

Given("a backend server that no longer listens", async function (this: World) {
    await openServer(this, "");
    await new Promise(resolve => this.answerEnds.server.close(resolve));
});

When("a call is sent to it", function (this: World) {
    this.answerEnds.result = send(this);
});

Given("the caller reads nothing yet", async function (this: World) {
    // The first response was already read, so another one is started whose reader pauses after the first part.
    this.answerEnds.sockets[0]?.resetAndDestroy();
    await this.answerEnds.result;
    this.answerEnds.body = "";
    this.answerEnds.isSlow = true;
    this.answerEnds.result = send(this);
    await waitForFirstHalf(this.answerEnds);
});

When("its connections are replaced and the response is reset", function (this: World) {
    this.answerEnds.pools.retire(this.answerEnds.address);
    this.answerEnds.sockets[0]?.resetAndDestroy();
});

When("more of the response and a reset arrive together", function (this: World) {
    const socket = this.answerEnds.sockets[0];
    socket?.write(", second half");
    socket?.resetAndDestroy();
    blockFor(processingMs);
});

/** Blocks the event loop, as in a busy process, so that data and the reset are read together. */
function blockFor(ms: number): void {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

When("another connection is reset and the response ends", async function (this: World) {
    const { answerEnds: ends } = this;
    const other = { ...ends, body: "", result: ends.result };
    const lost = send({ answerEnds: other });
    await waitForFirstHalf(other);
    ends.sockets[1]?.resetAndDestroy();
    assert.equal((await lost).end, "truncated");
    ends.sockets[0]?.end(", second half");
});

When(/^the response (ends|is broken|is reset)$/, async function (this: World, ending: string) {
    endings[ending]?.(this.answerEnds.sockets.at(-1) as Socket);
    await sleep(processingMs);
    this.answerEnds.resume?.();
    await sleep(processingMs);
    this.answerEnds.resume?.();
});

Then("the exchange ends {string} with {string}", async function (this: World, end: string, body: string) {
    assert.equal((await this.answerEnds.result).end, end);
    assert.equal(this.answerEnds.body, body);
});

Then("the end of the response was forwarded", function (this: World) {
    assert.ok(this.answerEnds.isEnded);
});

After(async function (this: Partial<World>) {
    if (this.answerEnds !== undefined) {
        this.answerEnds.sockets.forEach(socket => socket.destroy());
        await this.answerEnds.pools.close();
        await new Promise(resolve => this.answerEnds?.server.close(resolve));
    }
});
