import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { randomBytes, randomUUID } from "node:crypto";
import { Agent } from "node:http";
import { createServer, type AddressInfo, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { largeAnswer } from "./callBackend.js";
import { call, type Answer } from "./callClient.js";
import { createDeployment, type TestHost } from "./callFixture.js";
import {
    entryOf,
    eventually,
    hashOf,
    hostOf,
    reportedHash,
    resultOf,
    runsOf,
    settleMs,
    type Answered,
    type World,
} from "./callWorld.js";

Given("a call deployment of {int} hosts", async function (this: World, hosts: number) {
    this.deployment = await createDeployment({ hosts, slots: 20 });
    this.answers = [];
});

Given(
    "a call deployment of {int} hosts where the entry host has no backend server",
    async function (this: World, hosts: number) {
        this.deployment = await createDeployment({ hosts, slots: 20, entryLacksBackend: true });
        this.answers = [];
    },
);

After(async function (this: Partial<World>) {
    this.silentServer?.close();
    await this.deployment?.close();
});

When(
    "a {string} call breaks its backend connection at {string}",
    async function (this: World, method: string, point: string) {
        this.callId = randomUUID();
        this.deployment.brokenCalls.add(this.callId);
        const body = method === "GET" ? {} : { body: Buffer.from("0123456789".repeat(20)) };
        this.answers = [
            await call(entryOf(this), { method, path: `/${point}`, callId: this.callId, ...body }),
        ];
    },
);

Then(
    "the broken call ends as {string} after {int} run(s)",
    function (this: World, result: string, runs: number) {
        assert.equal(resultOf(this.answers[0] as Answer), result);
        assert.equal(runsOf(this, this.callId).length, runs);
    },
);

Then("the ledgers of callers and backend servers agree", function (this: World) {
    for (const answer of this.answers) {
        const runs = runsOf(this, answer.callId);
        const finished = runs.filter(run => run.finished).length;
        const result = resultOf(answer);
        assert.ok(finished <= 1, `call ${answer.callId} finished ${finished} times`);
        assert.ok(
            result !== "not-run" || runs.length === 0,
            `call ${answer.callId} was reported as "not run" after it ran`,
        );
        assert.ok(
            result !== "completed" || finished === 1,
            `call ${answer.callId} has a response but no finished run`,
        );
    }
});

When(
    "the backend server of host {int} drains without the other hosts knowing and {int} calls are made",
    async function (this: World, index: number, count: number) {
        hostOf(this, index).setServer({ state: "draining", drainingSince: Date.now() });
        for (let i = 0; i < count; i += 1) {
            this.answers.push(await call(entryOf(this), { path: "/x" }));
        }
    },
);

When(
    "the listeners of host {int} are closed and {int} {string} calls are made",
    async function (this: World, index: number, count: number, method: string) {
        hostOf(this, index).peer.close();
        for (let i = 0; i < count; i += 1) {
            this.answers.push(await call(entryOf(this), { method, path: "/x", body: Buffer.from("order") }));
        }
    },
);

Then("all {int} calls ran on host {int}", function (this: World, count: number, index: number) {
    assert.deepEqual(
        this.answers.map(answer => [resultOf(answer), answer.headers["tanagertray-reason"]]),
        Array.from({ length: count }, () => ["completed", undefined]),
    );
    const servingHosts = new Set(this.deployment.ledger.map(run => run.host));
    assert.deepEqual([...servingHosts], [`h${index}`]);
});

When(
    /^a (declared|chunked) body of (\d+) bytes is uploaded and a 20 MB response is downloaded$/,
    { timeout: 20_000 },
    async function (this: World, length: string, bytes: string) {
        const body = randomBytes(Number(bytes));
        this.sentHash = hashOf(body);
        const chunked = length === "chunked";
        this.answers = [await call(entryOf(this), { method: "POST", path: "/up", body, chunked })];
        this.received = await call(entryOf(this), { path: "/large" });
    },
);

Then("both bodies have the hash that their sender computed", function (this: World) {
    const [uploaded] = this.answers as [Answered];
    assert.equal(uploaded.status, 200);
    assert.equal(reportedHash(uploaded), this.sentHash);
    assert.equal(hashOf(this.received.body), hashOf(largeAnswer));
});

When(
    "the backend server of host {int} drains and {int} uploads of {int} bytes are made",
    async function (this: World, index: number, count: number, bytes: number) {
        hostOf(this, index).setServer({ state: "draining", drainingSince: Date.now() });
        const body = randomBytes(bytes);
        this.sentHash = hashOf(body);
        for (let i = 0; i < count; i += 1) {
            // Waits until the host no longer counts as saturated, so that the draining host is tried again.
            await sleep(i % 2 === 0 ? 520 : 0);
            this.answers.push(await call(entryOf(this), { method: "POST", path: "/up", body }));
        }
    },
);

Then("every upload arrived whole at host {int}", function (this: World, index: number) {
    for (const answer of this.answers) {
        assert.equal(answer.status, 200);
        assert.equal(reportedHash(answer), this.sentHash);
        assert.deepEqual(
            runsOf(this, answer.callId).map(run => run.host),
            [`h${index}`],
        );
    }
    const retries = entryOf(this).events.filter(event => Number(event.fields.retries ?? 0) > 0);
    assert.ok(retries.length > 0, "no upload was sent to the draining host");
});

When(
    "a {string} body of {int} bytes is sent to an operation that allows 1000",
    async function (this: World, length: string, bytes: number) {
        const body = randomBytes(bytes);
        const chunked = length === "chunked";
        this.received = await call(entryOf(this), { method: "PATCH", path: "/up", body, chunked });
    },
);

Then("the caller of the oversized call gets status {int}", function (this: World, status: number) {
    assert.equal(this.received.status, status);
    assert.equal(this.received.headers["tanagertray-outcome"], "not-run");
    assert.equal(this.deployment.ledger.length, 0);
});

When("a caller disconnects while its call is in progress", async function (this: World) {
    const abortController = new AbortController();
    const done = call(entryOf(this), { path: "/never", signal: abortController.signal });
    assert.ok(await eventually(2_000, () => this.deployment.ledger.length === 1));
    abortController.abort();
    await done;
});

Then("the backend server sees the cancelled call within 2 s", async function (this: World) {
    assert.ok(await eventually(2_000, () => this.deployment.ledger[0]?.cancelled === true));
    assert.equal(this.deployment.ledger.length, 1);
});

When(
    "a {string} call with a deadline of {int} ms gets no answer",
    async function (this: World, method: string, deadlineMs: number) {
        const headers = { "tanagertray-deadline-ms": String(deadlineMs) };
        this.received = await call(entryOf(this), { method, path: "/never", headers });
    },
);

Then(
    "the caller gets {string} and the backend server saw the cancellation",
    async function (this: World, outcome: string) {
        assert.equal(resultOf(this.received), outcome);
        assert.ok(await eventually(2_000, () => this.deployment.ledger[0]?.cancelled === true));
        const remainingMs = Number(this.deployment.ledger[0]?.headers["tanagertray-deadline-ms"]);
        assert.ok(remainingMs > 0 && remainingMs <= 300, `the deadline grew to ${remainingMs} ms`);
    },
);

When("the daemon shuts down with {int} calls in flight", async function (this: World, count: number) {
    const entry = entryOf(this);
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    await call(entry, { path: "/x", agent });
    const runsBefore = this.deployment.ledger.length;
    const inFlight = Array.from({ length: count }, () => call(entry, { path: "/slow" }));
    assert.ok(await eventually(2_000, () => this.deployment.ledger.length === runsBefore + count));
    entry.board.claimValue("shutdown").write({ requested: true, acceptsCallsUntil: 0, abortsCallsAt: 0 });
    this.drainAnswer = await call(entry, { path: "/x", agent });
    const closed = entry.calls.close();
    this.answers = await Promise.all(inFlight);
    await closed;
    agent.destroy();
});

When(
    "{int} uploads of {int} bytes are sent to a daemon that shuts down",
    async function (this: World, count: number, bytes: number) {
        const entry = entryOf(this);
        entry.board.claimValue("shutdown").write({ requested: true, acceptsCallsUntil: 0, abortsCallsAt: 0 });
        const upload = { method: "POST", path: "/x", body: Buffer.alloc(bytes) };
        this.answers = await Promise.all(Array.from({ length: count }, () => call(entry, upload)));
    },
);

Then(
    "each of the uploads gets {string} and no backend server ran it",
    function (this: World, outcome: string) {
        assert.deepEqual([...new Set(this.answers.map(resultOf))], [outcome]);
        assert.equal(this.deployment.ledger.length, 0);
    },
);

Then("the {int} calls in flight finish", function (this: World, count: number) {
    const bodies = this.answers.map(answer => `${answer.status} ${answer.body.toString()}`);
    assert.deepEqual(
        bodies,
        Array.from({ length: count }, () => "200 slow answer"),
    );
});

Then(
    "a new call on a keep-alive connection gets {string} and its connection is closed",
    function (this: World, outcome: string) {
        assert.equal(resultOf(this.drainAnswer), outcome);
        assert.equal(this.drainAnswer.headers.connection, "close");
        assert.equal(runsOf(this, this.drainAnswer.callId).length, 0);
    },
);

When(
    "the backend server drains with one finishing call and one that never ends",
    async function (this: World) {
        const calls = ["/slow", "/never"].map(path => call(entryOf(this), { path }));
        assert.ok(await eventually(2_000, () => this.deployment.ledger.length === 2));
        entryOf(this).setServer({ state: "draining", drainingSince: Date.now() });
        this.answers = await Promise.all(calls);
    },
);

Then("the finishing call completes and the other ends as unknown", function (this: World) {
    assert.deepEqual(this.answers.map(resultOf), ["completed", "unknown"]);
});

When(
    "idle backend connections stop responding and a call with a deadline of {int} ms uses one",
    async function (this: World, deadlineMs: number) {
        const entry = entryOf(this);
        await Promise.all(Array.from({ length: 8 }, () => call(entry, { path: "/slow" })));
        assert.ok(entry.connections.size >= 8);
        // A paused socket keeps its connection open but reads nothing, as if packets were lost on the way.
        entry.connections.forEach(socket => socket.pause().removeAllListeners("data"));
        const headers = { "tanagertray-deadline-ms": String(deadlineMs) };
        entry.connections.forEach(socket =>
            (socket as Socket & { _handle: { readStop(): void } })._handle.readStop(),
        );
        this.received = await call(entry, { method: "POST", path: "/x", headers });
    },
);

Then("the next {int} calls complete", async function (this: World, count: number) {
    assert.equal(resultOf(this.received), "unknown");
    this.answers = await Promise.all(
        Array.from({ length: count }, () => call(entryOf(this), { method: "POST", path: "/x" })),
    );
    assert.deepEqual(
        this.answers.map(resultOf),
        Array.from({ length: count }, () => "completed"),
    );
});

When(
    "host {int} accepts hops and never answers, and {int} {string} calls are made",
    { timeout: 20_000 },
    async function (this: World, index: number, count: number, method: string) {
        const sockets: Socket[] = [];
        const silent = createServer(socket => sockets.push(socket.on("error", () => undefined)));
        await new Promise<void>(resolve => silent.listen(0, "127.0.0.1", resolve));
        this.silentServer = silent;
        const { port } = silent.address() as AddressInfo;
        this.deployment.setRecord(`h${index}`, { peerAddress: `127.0.0.1:${port}` });
        await sleep(settleMs);
        const body = Buffer.from("order");
        this.answers = await Promise.all(
            Array.from({ length: count }, () => call(entryOf(this), { method, path: "/x", body })),
        );
        assert.ok(sockets.length > 0, "no call was sent to the silent host");
        sockets.forEach(socket => socket.destroy());
    },
);

When("{int} calls are made at once", { timeout: 20_000 }, async function (this: World, count: number) {
    const hosts = this.deployment.hosts;
    this.answers = await Promise.all(
        Array.from({ length: count }, (_, i) =>
            call(hosts[i % hosts.length] as TestHost, {
                method: i % 2 === 0 ? "POST" : "GET",
                path: `/n/${i}`,
                ...(i % 2 === 0 ? { body: Buffer.from(`order ${i}`) } : {}),
            }),
        ),
    );
});

Then("each answer belongs to its call, and no call ran twice", function (this: World) {
    this.answers.forEach((answer, i) => {
        const echoed = JSON.parse(answer.body.toString()) as { callId: string; url: string; hash: string };
        assert.equal(answer.status, 200);
        assert.equal(echoed.callId, answer.callId);
        assert.equal(echoed.url, `/n/${i}`);
        assert.equal(echoed.hash, hashOf(Buffer.from(i % 2 === 0 ? `order ${i}` : "")));
        assert.equal(runsOf(this, answer.callId).length, 1);
    });
});

When("a backend server answers 503 with its own refusal", async function (this: World) {
    this.received = await call(hostOf(this, 1), { path: "/refuses" });
});

Then("the caller gets that response after {int} run", function (this: World, runs: number) {
    assert.equal(this.received.status, 503);
    assert.equal(this.received.body.toString(), "busy");
    assert.equal(this.received.headers["tanagertray-outcome"], "not-run");
    assert.equal(this.deployment.ledger.length, runs);
});
