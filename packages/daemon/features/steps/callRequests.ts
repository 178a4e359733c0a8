import { Then, When } from "@cucumber/cucumber";
import { refusalStatus, type RefusalReason } from "@tanagertray/core";
import { signHop } from "@tanagertray/daemon/adapters/calls/hopToken";
import assert from "node:assert/strict";
import { randomUUID } from "node:crypto";
import { once } from "node:events";
import { request as httpRequest } from "node:http";
import { connect, type AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { hugeAnswerBytes } from "./callBackend.js";
import { call, sendRaw } from "./callClient.js";
import type { TestHost } from "./callFixture.js";
import { entryOf, hostOf, settleMs, type World } from "./callWorld.js";

const requestHead = (line: string, ...lines: string[]) =>
    [line, "Host: h", ...lines, "Connection: close"].join("\r\n");
const callerHeader = "tanagertray-caller: crews";
const rawRequests: Record<string, string> = {
    "length and encoding": `${requestHead("POST /orders/x HTTP/1.1", callerHeader, "Content-Length: 5", "Transfer-Encoding: chunked")}\r\n\r\n0\r\n\r\n`,
    "two lengths": `${requestHead("POST /orders/x HTTP/1.1", callerHeader, "Content-Length: 5", "Content-Length: 6")}\r\n\r\nhello`,
    "list of lengths": `${requestHead("POST /orders/x HTTP/1.1", callerHeader, "Content-Length: 5, 5")}\r\n\r\nhello`,
    "unknown encoding": `${requestHead("POST /orders/x HTTP/1.1", callerHeader, "Transfer-Encoding: gzip, chunked")}\r\n\r\n0\r\n\r\n`,
    "nominated length": `${requestHead("POST /orders/x HTTP/1.1", callerHeader, "Connection: content-length", "Content-Length: 5")}\r\n\r\nhello`,
    "nominated caller": `${requestHead("POST /orders/x HTTP/1.1", callerHeader, "Connection: tanagertray-caller", "Content-Length: 0")}\r\n\r\n`,
    "two callers": `${requestHead("GET /orders/x HTTP/1.1", callerHeader, "tanagertray-caller: rivals")}\r\n\r\n`,
    "space before colon": `${requestHead("POST /orders/x HTTP/1.1", callerHeader, "Content-Length : 5")}\r\n\r\nhello`,
    "dot segments": `${requestHead("GET /orders/a/../../admin HTTP/1.1", callerHeader)}\r\n\r\n`,
    "encoded dot segments": `${requestHead("GET /orders/a/%2e%2E/b HTTP/1.1", callerHeader)}\r\n\r\n`,
    "absolute target": `${requestHead("GET http://other/orders/x HTTP/1.1", callerHeader)}\r\n\r\n`,
    "no caller": `${requestHead("GET /orders/x HTTP/1.1")}\r\n\r\n`,
    "caller that may not call": `${requestHead("GET /orders/x HTTP/1.1", "tanagertray-caller: rivals")}\r\n\r\n`,
    "malformed call id": `${requestHead("GET /orders/x HTTP/1.1", callerHeader, "tanagertray-call-id: a b")}\r\n\r\n`,
    "malformed deadline": `${requestHead("GET /orders/x HTTP/1.1", callerHeader, "tanagertray-deadline-ms: -5")}\r\n\r\n`,
};

When("the raw request {string} is sent", async function (this: World, kind: string) {
    this.rawAnswer = await sendRaw(entryOf(this), rawRequests[kind] as string);
});

Then("the raw request is refused and no backend server ran it", function (this: World) {
    assert.match(this.rawAnswer, /^HTTP\/1\.1 4\d\d /);
    assert.equal(this.deployment.ledger.length, 0);
});

When(
    "a call carries hop-by-hop headers, nominated headers and forged daemon headers",
    async function (this: World) {
        this.received = await call(entryOf(this), {
            path: "/x",
            headers: {
                connection: "keep-alive, x-nominated",
                "x-nominated": "1",
                "x-passed": "1",
                te: "trailers",
                "proxy-authorization": "secret",
                "keep-alive": "timeout=5",
                "tanagertray-partner": "west",
                "tanagertray-hop": "forged",
                "tanagertray-reason": "forged",
                "tanagertray-load": "0",
                "tanagertray-deadline-ms": "4000",
            },
        });
    },
);

Then(
    "the backend server sees none of them, but the validated caller, call id and deadline",
    function (this: World) {
        assert.equal(this.received.status, 200);
        const received = this.deployment.ledger[0]?.headers ?? {};
        const own = Object.keys(received).filter(name => name.startsWith("tanagertray-"));
        assert.deepEqual(own.sort(), [
            "tanagertray-call-id",
            "tanagertray-caller",
            "tanagertray-deadline-ms",
        ]);
        for (const name of ["x-nominated", "te", "proxy-authorization", "keep-alive"]) {
            assert.equal(received[name], undefined, name);
        }
        assert.equal(received["x-passed"], "1");
        assert.equal(received["tanagertray-caller"], "crews");
        assert.ok(Number(received["tanagertray-deadline-ms"]) <= 4_000);
    },
);

When(
    "a call with a deadline of {int} ms waits in the socket of a daemon that is paused for {int} ms",
    async function (this: World, deadlineMs: number, pausedMs: number) {
        const socket = connect(entryOf(this).calls.port, "127.0.0.1");
        this.rawAnswer = "";
        socket.on("data", chunk => (this.rawAnswer += chunk.toString()));
        await once(socket, "connect");
        await sleep(settleMs);
        const deadline = `tanagertray-deadline-ms: ${deadlineMs}`;
        socket.write(`${requestHead("GET /orders/x HTTP/1.1", callerHeader, deadline)}\r\n\r\n`, () => {
            // Daemon and caller share this thread, so blocking it pauses the daemon.
            Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, pausedMs);
        });
        await once(socket, "close");
    },
);

Then("the call is refused as {string} and no backend server ran it", function (this: World, reason: string) {
    const status = refusalStatus(reason as RefusalReason);
    assert.match(this.rawAnswer, new RegExp(`^HTTP/1\\.1 ${status} [^]*tanagertray-reason: ${reason}`));
    assert.equal(this.deployment.ledger.length, 0);
});

async function sendHop(host: TestHost, headers: Record<string, string>, path = "/orders/x"): Promise<number> {
    const { port } = host.peer.address() as AddressInfo;
    return new Promise((resolve, reject) => {
        const request = httpRequest({ host: "127.0.0.1", port, path, headers, agent: false }, response => {
            response.resume();
            resolve(response.statusCode ?? 0);
        });
        request.on("error", reject);
        request.end();
    });
}

Then(
    "hops with a missing, forged, stale or transferred signature are refused, and both keys are accepted",
    async function (this: World) {
        const host = entryOf(this);
        const claims = (attemptId: string) => ({
            attemptId,
            callId: "c1",
            caller: "crews",
            partner: "east",
            service: "orders",
            method: "GET",
            path: "/orders/x",
            deadlineMs: "1000",
            route: undefined,
        });
        const sign = (key: string, now = Date.now()) => signHop(claims(randomUUID()), key, now);
        const send = (hopToken: string | undefined, overrides: Record<string, string> = {}, path?: string) =>
            sendHop(
                host,
                {
                    "tanagertray-caller": "crews",
                    "tanagertray-partner": "east",
                    "tanagertray-call-id": "c1",
                    "tanagertray-deadline-ms": "1000",
                    ...(hopToken === undefined ? {} : { "tanagertray-hop": hopToken }),
                    ...overrides,
                },
                path,
            );
        const refused = [
            await send(undefined),
            await send(sign("other-key")),
            await send(sign("new-key", Date.now() - 60_000)),
            await send(sign("new-key"), { "tanagertray-deadline-ms": "2000" }),
            await send(sign("new-key"), { "tanagertray-partner": "west" }),
            await send(sign("new-key"), {}, "/orders/y"),
        ];
        assert.deepEqual(refused, [403, 403, 403, 403, 403, 403]);
        assert.equal(this.deployment.ledger.length, 0);
        assert.deepEqual([await send(sign("new-key")), await send(sign("old-key"))], [200, 200]);
        const replayed = sign("new-key");
        assert.deepEqual([await send(replayed), await send(replayed)], [200, 503]);
        assert.equal(this.deployment.ledger.length, 3);
    },
);

When("a {string} call gets its response after 3.6 s", async function (this: World, method: string) {
    this.received = await call(entryOf(this), { method, path: "/late" });
});

Then("the late response arrives after {int} run", function (this: World, runs: number) {
    assert.equal(this.received.body.toString(), "late answer");
    assert.equal(this.deployment.ledger.length, runs);
});

When("a caller stops reading a response of 128 MB", async function (this: World) {
    const { port } = entryOf(this).calls;
    const headers = { "tanagertray-caller": "crews" };
    const request = httpRequest({ host: "127.0.0.1", port, path: "/orders/huge", headers, agent: false });
    request.on("error", () => undefined);
    await new Promise<void>(resolve => {
        request.on("response", response => {
            response.on("error", () => undefined).pause();
            resolve();
        });
        request.end();
    });
    const writtenBytes = () =>
        Math.max(...[...hostOf(this, 1).connections].map(socket => socket.bytesWritten));
    for (let previousBytes = -1; previousBytes !== writtenBytes(); await sleep(200)) {
        previousBytes = writtenBytes();
    }
    this.writtenBytes = writtenBytes();
    request.destroy();
});

Then("the backend server has written less than half of it", function (this: World) {
    assert.ok(
        this.writtenBytes > 0 && this.writtenBytes < hugeAnswerBytes / 2,
        `${this.writtenBytes} bytes were written`,
    );
});

const traceId = "0af7651916cd43dd8448eb211c80319c";

When("a call with a trace context is made", async function (this: World) {
    const headers = { traceparent: `00-${traceId}-b7ad6b7169203331-01` };
    this.received = await call(entryOf(this), { path: "/x", headers });
    await sleep(settleMs);
});

Then("the entry and hop spans and the backend server continue that trace", function (this: World) {
    const [entrySpan] = entryOf(this).spans;
    const [hopSpan] = hostOf(this, 1).spans;
    assert.equal(entrySpan?.traceId, traceId);
    assert.equal(entrySpan.parentSpanId, "b7ad6b7169203331");
    assert.equal(hopSpan?.parentSpanId, entrySpan.spanId);
    const traceparent = String(this.deployment.ledger[0]?.headers.traceparent);
    assert.equal(traceparent, `00-${traceId}-${hopSpan.spanId}-01`);
});
