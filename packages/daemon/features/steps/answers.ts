import { After, Given, Then, When } from "@cucumber/cucumber";
import { createCancellation } from "@tanagertray/daemon/adapters/calls/cancellation";
import { exchange } from "@tanagertray/daemon/adapters/calls/exchange";
import { createPools } from "@tanagertray/daemon/adapters/calls/pools";
import { DispositionKind } from "@tanagertray/daemon/adapters/calls/disposition";
import { createTimers } from "@tanagertray/daemon/adapters/calls/timers";
import type { Board } from "@tanagertray/daemon/board";
import assert from "node:assert/strict";
import fc from "fast-check";
import { createServer, type AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { call } from "./callClient.js";
import { createDeployment, type TestHost } from "./callFixture.js";
import { eventually, resultOf, type Answered, type World as CallWorld } from "./callWorld.js";
import { openRawBackend, RawFault, type RawBackend } from "./rawBackend.js";

interface World extends CallWorld {
    rawBackend?: RawBackend;
    failures: string[];
    pausedEnd: string;
}

After(async function (this: World) {
    await this.rawBackend?.close();
});

Given(
    /^a faulty backend server (on the same host as|one hop from) its callers$/,
    async function (this: World, where: string) {
        const hosts = where === "on the same host as" ? 1 : 2;
        this.deployment = await createDeployment({ hosts, slots: 8, entryLacksBackend: hosts === 2 });
        this.rawBackend = await openRawBackend();
        hostOfBackend(this).setServer({ address: this.rawBackend.address });
        await sleep(50);
    },
);

function hostOfBackend({ deployment }: World): TestHost {
    return deployment.hosts[deployment.hosts.length - 1] as TestHost;
}

const callDeadlineMs = 1_500;

function callRaw(
    world: World,
    method: string,
    fault: string,
    amount = 50,
    callId?: string,
): Promise<Answered> {
    return call(world.deployment.hosts[0] as TestHost, {
        method,
        path: `/${fault}/${amount}`,
        headers: { "tanagertray-deadline-ms": String(callDeadlineMs) },
        ...(callId === undefined ? {} : { callId }),
    });
}

/** Describes the first violated guarantee of a caller's result; `undefined` if there is none. */
function violationOf({ rawBackend }: World, method: string, answer: Answered): string | undefined {
    const runs = (rawBackend?.runs ?? []).filter(({ callId }) => callId === answer.callId);
    const result = resultOf(answer);
    const body = answer.body.toString();
    const checks: Record<string, boolean> = {
        "ran twice": method === "GET" || runs.length <= 1,
        "is reported as not run but ran": result !== "not-run" || runs.length === 0,
        "got a response that is not its own or not complete":
            result !== "completed" || runs.some(run => run.body === body),
        "got an unexpected result": ["completed", "not-run", "unknown", "reset"].includes(result),
    };
    return Object.keys(checks).find(name => checks[name] === false);
}

const seed = 20_261;

When(
    "{int} sequences of {int} calls trigger its faults in random orders with a fixed seed",
    { timeout: 240_000 },
    async function (this: World, sequences: number, length: number) {
        const step = fc.record({
            method: fc.constantFrom("GET", "POST"),
            fault: fc.constantFrom(...Object.values(RawFault)),
            amount: fc.nat(100),
            alone: fc.boolean(),
        });
        const property = fc.asyncProperty(
            fc.array(step, { minLength: 2, maxLength: length }),
            async steps => {
                const pending: Promise<void>[] = [];
                for (const { method, fault, amount, alone } of steps) {
                    const done = callRaw(this, method, fault, amount).then(answer => {
                        const wrong = violationOf(this, method, answer);
                        assert.equal(wrong, undefined, `${method} ${fault} ${amount} ${wrong}`);
                    });
                    pending.push(done);
                    if (alone) {
                        await done;
                    }
                }
                await Promise.all(pending);
            },
        );
        await fc.assert(property, { seed, numRuns: sequences, endOnFailure: true });
    },
);

Then("the backend server has run at least {int} calls", function (this: World, least: number) {
    assert.ok((this.rawBackend?.runs.length ?? 0) >= least);
});

When(
    "its response is truncated at each percent of its length, by the end and by a reset of the connection",
    { timeout: 120_000 },
    async function (this: World) {
        this.failures = [];
        for (const fault of [RawFault.Cut, RawFault.Reset]) {
            for (let percent = 0; percent < 100; percent += 1) {
                const answer = await callRaw(this, "POST", fault, percent);
                if (!["unknown", "reset"].includes(resultOf(answer))) {
                    this.failures.push(`${fault} at ${percent} %: ${resultOf(answer)}`);
                }
            }
        }
    },
);

Then("no caller takes it for a complete response", function (this: World) {
    assert.deepEqual(this.failures, []);
});

When(
    "one call gets a(n) {word} response and the next call a(n) {word} response",
    async function (this: World, first: string, second: string) {
        await callRaw(this, "POST", first);
        this.received = await callRaw(this, "POST", second);
    },
);

Given("a faulty server in place of the daemon of the only other host", async function (this: World) {
    this.deployment = await createDeployment({ hosts: 2, slots: 8, entryLacksBackend: true });
    this.rawBackend = await openRawBackend();
    this.deployment.setRecord("h1", { peerAddress: this.rawBackend.address });
    await sleep(50);
});

Then("the second call gets no foreign response, with cause {string}", function (this: World, cause: string) {
    // The replaced daemon has no record of the call, so the call may be sent again and then get a response.
    const { callId, body } = this.received;
    const isOwn = this.rawBackend?.runs.some(run => run.callId === callId && run.body === body.toString());
    assert.ok(resultOf(this.received) !== "completed" || isOwn);
    const { events } = this.deployment.hosts[0] as TestHost;
    const causes = events
        .filter(({ name }) => name === "call.answerRejected")
        .map(({ fields }) => fields["cause"]);
    assert.equal(causes[0], cause);
});

Then("the second call ends as {string}", function (this: World, result: string) {
    assert.equal(resultOf(this.received), result);
    assert.equal(violationOf(this, "POST", this.received), undefined);
});

Then(
    "a rejected response is logged with the cause {string} after {int} exchange(s)",
    async function (this: World, cause: string, exchangesBefore: number) {
        const { events } = hostOfBackend(this);
        const noted = () => events.filter(({ name }) => name === "call.answerRejected");
        await eventually(500, () => noted().length > 0);
        const { fields } = noted()[0] ?? {};
        assert.equal(fields?.["cause"], cause);
        assert.equal(fields?.["exchangesBefore"], exchangesBefore);
        assert.equal(fields?.["expectedId"], this.received.callId);
        assert.ok(Number(fields?.["bytes"]) > 0);
    },
);

When(
    "a response without a length is paused and its connection is reset",
    { timeout: 10_000 },
    async function (this: World) {
        const server = createServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", () => {
                socket.write("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhello");
                setTimeout(() => socket.resetAndDestroy(), 100);
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as AddressInfo;
        const pools = createPools(Date.now);
        const address = `127.0.0.1:${port}`;
        const result = await exchange({
            connections: pools.get(address, 1),
            id: "a",
            idHeader: "tanagertray-call-id",
            method: "GET",
            path: "/",
            headers: [],
            body: null,
            cancellation: createCancellation(),
            timers: createTimers(this.deployment.hosts[0]?.board as Board, Date.now),
            headIdleTimeoutMs: 0,
            mayWrite: () => true,
            onInformationalResponse: () => undefined,
            onHead: () => ({
                kind: DispositionKind.Pass,
                sink: { write: () => false, onceWritable: () => undefined, end: () => undefined },
            }),
        });
        this.pausedEnd = result.end;
        await pools.close();
        server.close();
    },
);

Then("its exchange ends as {string}", function (this: World, end: string) {
    assert.equal(this.pausedEnd, end);
});
