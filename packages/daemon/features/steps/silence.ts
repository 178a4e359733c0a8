import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { randomUUID } from "node:crypto";
import { call, type Answer } from "./callClient.js";
import { createDeployment } from "./callFixture.js";
import { entryOf, eventually, resultOf, runsOf, type Answered, type World } from "./callWorld.js";

interface SilenceWorld extends World {
    answer: Answer;
    elapsedMs: number;
}

const okStatus = 200;
/** More than the longest wait in the queue of a full host, after which the call is sent to another one. */
const slowDeadlineMs = 5_000;

function makeCalls(world: World, count: number, method: string, path: string): Promise<Answered[]> {
    return Promise.all(
        Array.from({ length: count }, () => call(entryOf(world), { method, path, callId: randomUUID() })),
    );
}

Given(
    "a call deployment of {int} hosts with 1 slot each where the entry host has no backend server",
    async function (this: World, hosts: number) {
        this.deployment = await createDeployment({ hosts, slots: 1, entryLacksBackend: true });
        this.answers = [];
    },
);

Given("{int} calls that hold a slot", async function (this: World, count: number) {
    const { ledger } = this.deployment;
    const runsBefore = ledger.length;
    for (let held = 1; held <= count; held += 1) {
        void call(entryOf(this), { method: "POST", path: "/held/10/waiting", callId: randomUUID() });
        assert.ok(await eventually(2_000, () => ledger.length === runsBefore + held));
    }
});

/** Calls made at once while the times of the operation are learned: below the slots of one host. */
const callsAtOnce = 10;

Given("{int} {string} calls that were answered", async function (this: World, count: number, method: string) {
    for (let made = 0; made < count; made += callsAtOnce) {
        const answers = await makeCalls(this, callsAtOnce, method, "/echo");
        assert.ok(answers.every(({ status }) => status === okStatus));
    }
});

async function leaveUnanswered(
    world: SilenceWorld,
    method: string,
    deadlineMs: number,
    path = "/unanswered",
): Promise<void> {
    const callId = randomUUID();
    world.deployment.brokenCalls.add(callId);
    const startedAt = performance.now();
    const headers = { "tanagertray-deadline-ms": String(deadlineMs) };
    world.callId = callId;
    world.answer = await call(entryOf(world), { method, path, callId, headers });
    world.elapsedMs = performance.now() - startedAt;
}

When(
    "a backend server leaves a {string} call unanswered that has {int} ms left",
    function (this: SilenceWorld, method: string, deadlineMs: number) {
        return leaveUnanswered(this, method, deadlineMs);
    },
);

When(
    "a backend server answers a {string} call to {string} slowly",
    function (this: SilenceWorld, method: string, path: string) {
        return leaveUnanswered(this, method, slowDeadlineMs, path);
    },
);

Then(/^its first run was (not )?cancelled$/, async function (this: SilenceWorld, not: string | null) {
    const [first] = runsOf(this, this.callId);
    assert.ok(await eventually(1_000, () => first?.cancelled === true || first?.finished === true));
    assert.equal(first?.cancelled, not === null);
});

Then(
    "the unanswered call ends as {string} after {int} runs, {int} to {int} ms after its start",
    function (this: SilenceWorld, result: string, runs: number, least: number, most: number) {
        assert.equal(resultOf(this.answer), result);
        assert.equal(runsOf(this, this.callId).length, runs);
        assert.ok(this.elapsedMs >= least && this.elapsedMs <= most, `${this.elapsedMs} ms`);
    },
);

When(
    "{int} {string} calls to {string} are made at once",
    async function (this: World, count: number, method: string, path: string) {
        this.deployment.ledger.length = 0;
        this.answers = await makeCalls(this, count, method, path);
    },
);

Then("all of them are answered, after at most {int} runs", function (this: World, runs: number) {
    assert.ok(this.answers.every(({ status }) => status === okStatus));
    assert.ok(this.deployment.ledger.length <= runs, `${this.deployment.ledger.length} runs`);
});

When(
    "a backend server leaves a {string} call unanswered that has {int} ms left, beside {int} calls that it answers",
    async function (this: SilenceWorld, method: string, deadlineMs: number, count: number) {
        const unanswered = leaveUnanswered(this, method, deadlineMs);
        await makeCalls(this, count, method, "/echo");
        await unanswered;
    },
);

Then("no pool was replaced", function (this: World) {
    const replaced = this.deployment.hosts.flatMap(({ events }) =>
        events.filter(({ name }) => name === "call.poolReplaced"),
    );
    assert.deepEqual(replaced, []);
});

When(
    "{int} {string} calls with {int} ms left are left unanswered, one after another",
    async function (this: SilenceWorld, count: number, method: string, deadlineMs: number) {
        for (let made = 0; made < count; made += 1) {
            await leaveUnanswered(this, method, deadlineMs);
            assert.equal(resultOf(this.answer), "unknown");
        }
    },
);

Then("no call was recorded as unanswered", function (this: World) {
    const names = this.deployment.hosts.flatMap(({ events }) => events.map(({ name }) => name));
    assert.ok(!names.includes("call.unanswered"));
});

When(
    "a {string} call with {int} ms left is left unanswered while the process is paused for {int} ms",
    async function (this: SilenceWorld, method: string, deadlineMs: number, pauseMs: number) {
        const { ledger } = this.deployment;
        const runsBefore = ledger.length;
        const unanswered = leaveUnanswered(this, method, deadlineMs);
        assert.ok(await eventually(1_000, () => ledger.length > runsBefore));
        Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, pauseMs);
        await unanswered;
    },
);
