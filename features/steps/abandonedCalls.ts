import { After, Given, Then, When } from "@cucumber/cucumber";
import type { StandInBackendServer } from "@tanagertray/standin";
import assert from "node:assert/strict";
import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import {
    call,
    hostNamed,
    manySlots,
    patientClient,
    scenarioMs,
    startBusyDeployment,
    type ClientCall,
    type World,
} from "./abandoningClients.js";
import type { HostProcess } from "./hostProcesses.js";

/** Time between the start of the busy turns and the first call, in milliseconds. */
const busyLeadMs = 150;

After({ timeout: scenarioMs }, async function (this: World) {
    await this.server?.close();
    await this.clientProcesses?.close();
});

Given(
    "daemon processes {string} that can be made busy for {int} ms with turns of {int} ms, and a backend server at {string}",
    { timeout: scenarioMs },
    function (this: World, hostNames: string, busyMs: number, turnMs: number, serverHost: string) {
        return startBusyDeployment(this, { hostNames, busyMs, turnMs, slots: manySlots, serverHost });
    },
);

Given(
    "daemon processes {string} that can be made busy for {int} ms with turns of {int} ms, and a backend server with {int} slot(s) at {string}",
    { timeout: scenarioMs },
    function (
        this: World,
        hostNames: string,
        busyMs: number,
        turnMs: number,
        slots: number,
        serverHost: string,
    ) {
        return startBusyDeployment(this, { hostNames, busyMs, turnMs, slots, serverHost });
    },
);

Given(
    "daemon processes {string} that can be made busy for {int} ms with turns of {int} ms, and a backend server at {string} that takes uploads of {int} bytes",
    { timeout: scenarioMs },
    function (
        this: World,
        hostNames: string,
        busyMs: number,
        turnMs: number,
        serverHost: string,
        bodyBytes: number,
    ) {
        const slots = manySlots;
        return startBusyDeployment(this, { hostNames, busyMs, turnMs, slots, serverHost, bodyBytes });
    },
);

/** Time for which a call occupies the slot, in milliseconds. */
const slotHoldMs = 300;
/** Time in which a call reaches the backend server or its queue, in milliseconds. */
const arrivalMs = 100;
/**
 * Time after which a waiting client leaves, in milliseconds: when the call in the slot has ended and the daemon is still
 * busy.
 */
const queueLeaveMs = 250;

/** Occupies the only slot with one call, and queues the calls of clients that leave. */
async function queueCalls(
    world: World,
    entry: HostProcess,
    { count, leavesAfterMs }: { readonly count: number; readonly leavesAfterMs: number },
): Promise<readonly Promise<number>[]> {
    world.server?.setFaults({ workMs: slotHoldMs });
    const holding = call(world, entry, { id: "holding", ...patientClient });
    await sleep(arrivalMs);
    const waiting = Array.from({ length: count }, (_, index) =>
        call(world, entry, { id: `c${index}`, deadlineMs: 5_000, leavesAfterMs }),
    );
    await sleep(arrivalMs);
    return [holding, ...waiting];
}

Given(
    "{int} clients of {string} called at once and were served one at a time",
    { timeout: scenarioMs },
    async function (this: World, count: number, name: string) {
        this.server?.setFaults({ workMs: arrivalMs });
        const calls = Array.from({ length: count }, (_, index) =>
            call(this, hostNamed(this, name), { id: `before${index}`, ...patientClient }),
        );
        assert.deepEqual(await Promise.all(calls), Array(count).fill(200));
    },
);

When(
    "{string} is busy while its only slot is released and {int} clients of {string} that wait for it leave",
    { timeout: scenarioMs },
    async function (this: World, busy: string, count: number, name: string) {
        const entry = hostNamed(this, name);
        const calls = await queueCalls(this, entry, { count, leavesAfterMs: queueLeaveMs });
        hostNamed(this, busy).child.kill("SIGUSR2");
        await Promise.all(calls);
        assert.equal(this.clientLeftAt.size, count, "calls were answered before their clients could leave");
        this.server?.setFaults({ workMs: 0 });
    },
);

/** Time after which a client leaves that waits while the daemon is stopped and then busy, in milliseconds. */
const longTurnLeaveMs = 500;

When(
    "{string} reads the release of its only slot in a long turn during which {int} clients of {string} that wait for it leave",
    { timeout: scenarioMs },
    async function (this: World, busy: string, count: number, name: string) {
        const entry = hostNamed(this, name);
        const { child } = hostNamed(this, busy);
        const calls = await queueCalls(this, entry, { count, leavesAfterMs: longTurnLeaveMs });
        // The response and the signal that starts the long turn are read in the same poll.
        child.kill("SIGSTOP");
        await sleep(slotHoldMs - arrivalMs);
        child.kill("SIGUSR2");
        child.kill("SIGCONT");
        await Promise.all(calls);
        assert.equal(this.clientLeftAt.size, count, "calls were answered before their clients could leave");
        this.server?.setFaults({ workMs: 0 });
    },
);

/** Time for which each of the calls that follow occupies the slot, in milliseconds. */
const shortHoldMs = 100;
/** Time after which the clients leave together, in milliseconds: several busy turns after the first of them got the slot. */
const joinedLeaveMs = 750;

When(
    "{string} are busy while {int} clients of {string} wait for the only slot, get it one at a time and leave together",
    { timeout: scenarioMs },
    async function (this: World, busy: string, count: number, name: string) {
        const entry = hostNamed(this, name);
        const calls = await queueCalls(this, entry, { count, leavesAfterMs: joinedLeaveMs });
        this.server?.setFaults({ workMs: shortHoldMs });
        busy.split(",").forEach(host => hostNamed(this, host).child.kill("SIGUSR2"));
        await Promise.all(calls);
        assert.ok(this.clientLeftAt.size > 0, "calls were answered before their clients could leave");
    },
);

When(
    "{string} are busy and {int} clients that leave at their deadline of {int} ms call {string} at once",
    { timeout: scenarioMs },
    async function (this: World, busy: string, count: number, deadlineMs: number, name: string) {
        busy.split(",").forEach(host => hostNamed(this, host).child.kill("SIGUSR2"));
        await sleep(busyLeadMs);
        const entry = hostNamed(this, name);
        await Promise.all(
            Array.from({ length: count }, (_, index) =>
                call(this, entry, { id: `c${index}`, deadlineMs, leavesAfterMs: deadlineMs }),
            ),
        );
    },
);

When(
    "{string} is stopped for {int} ms and {int} clients that leave at their deadline of {int} ms call {string}",
    { timeout: scenarioMs },
    async function (
        this: World,
        stopped: string,
        ms: number,
        count: number,
        deadlineMs: number,
        name: string,
    ) {
        const entry = hostNamed(this, name);
        const { child } = hostNamed(this, stopped);
        child.kill("SIGSTOP");
        const calls = Array.from({ length: count }, (_, index) =>
            call(this, entry, { id: `c${index}`, deadlineMs, leavesAfterMs: deadlineMs }),
        );
        await sleep(ms);
        child.kill("SIGCONT");
        await Promise.all(calls);
    },
);

When(
    /^"(\w+)" is busy while (\d+) clients call "(\w+)" on (new|kept) connections and leave after (\d+) ms$/,
    { timeout: scenarioMs },
    async function (this: World, busy: string, count: string, name: string, kind: string, ms: string) {
        const entry = hostNamed(this, name);
        const agent = new Agent({ keepAlive: true, maxSockets: Number(count) });
        const options = kind === "kept" ? { agent } : {};
        const callAll = (prefix: string, times: Omit<ClientCall, "id">) =>
            Promise.all(
                Array.from({ length: Number(count) }, (_, index) =>
                    call(this, entry, { id: `${prefix}${index}`, ...times, ...options }),
                ),
            );
        await callAll("opens", patientClient);
        hostNamed(this, busy).child.kill("SIGUSR2");
        await sleep(arrivalMs);
        await callAll("leaves", { deadlineMs: 5_000, leavesAfterMs: Number(ms) });
        agent.destroy();
    },
);

When(
    "{string} is busy while {int} clients of {string} upload {int} bytes and leave after {int} ms",
    { timeout: scenarioMs },
    async function (this: World, busy: string, count: number, name: string, bodyBytes: number, ms: number) {
        const entry = hostNamed(this, name);
        const uploadAll = (prefix: string, times: Pick<ClientCall, "deadlineMs" | "leavesAfterMs">) =>
            Promise.all(
                Array.from({ length: count }, (_, index) =>
                    call(this, entry, { id: `${prefix}${index}`, ...times, bodyBytes }),
                ),
            );
        assert.deepEqual(await uploadAll("opens", patientClient), Array(count).fill(200));
        hostNamed(this, busy).child.kill("SIGUSR2");
        await sleep(signalMs);
        await uploadAll("leaves", { deadlineMs: 5_000, leavesAfterMs: ms });
        assert.equal(this.clientLeftAt.size, count, "uploads were answered before their clients could leave");
    },
);

Then(
    "a patient upload of {int} bytes to {string} is served",
    { timeout: scenarioMs },
    async function (this: World, bodyBytes: number, name: string) {
        assert.equal(
            await call(this, hostNamed(this, name), { id: "last", ...patientClient, bodyBytes }),
            200,
        );
    },
);

/** Time in which a signal makes a process busy, in milliseconds. */
const signalMs = 5;
/** Times after the first call at which its clients leave and its entry daemon is stopped and continued, in milliseconds. */
const stoppedEntry = { leaveMs: 60, stopMs: 45, continueMs: 950 };

When(
    "{string} is busy while {int} clients call {string}, which is stopped before they leave, and the only slot is released after {int} ms",
    { timeout: scenarioMs },
    async function (this: World, busy: string, count: number, name: string, releaseMs: number) {
        const entry = hostNamed(this, name);
        this.server?.setFaults({ workMs: arrivalMs + releaseMs });
        const holding = call(this, hostNamed(this, busy), { id: "holding", ...patientClient });
        await sleep(arrivalMs);
        this.server?.setFaults({ workMs: 0 });
        hostNamed(this, busy).child.kill("SIGUSR2");
        await sleep(signalMs);
        const calls = Array.from({ length: count }, (_, index) =>
            call(this, entry, { id: `c${index}`, deadlineMs: 5_000, leavesAfterMs: stoppedEntry.leaveMs }),
        );
        await sleep(stoppedEntry.stopMs);
        entry.child.kill("SIGSTOP");
        await sleep(stoppedEntry.continueMs - stoppedEntry.stopMs);
        entry.child.kill("SIGCONT");
        await Promise.all([holding, ...calls]);
        assert.equal(this.clientLeftAt.size, count, "calls were answered before their clients could leave");
    },
);

Then(
    "within {int} ms no call reached the backend server more than {int} ms after its client left",
    { timeout: scenarioMs },
    async function (this: World, withinMs: number, ms: number) {
        await sleep(withinMs);
        const late = (this.server as StandInBackendServer).ledger().runs.flatMap(({ id, started }) => {
            const lateMs = started - (this.clientLeftAt.get(id) ?? Infinity);
            return lateMs > ms ? [`${id}: ${lateMs} ms`] : [];
        });
        assert.deepEqual(late, []);
    },
);

When(
    "a client of {string} waits {int} ms for the only slot",
    { timeout: scenarioMs },
    async function (this: World, name: string, ms: number) {
        const entry = hostNamed(this, name);
        this.server?.setFaults({ workMs: ms + arrivalMs });
        const holding = call(this, entry, { id: "holding", ...patientClient });
        await sleep(arrivalMs);
        this.status = await call(this, entry, { id: "waiting", ...patientClient });
        assert.equal(await holding, 200);
    },
);

Then("it is served after {string} has asked the entry daemon", async function (this: World, name: string) {
    assert.equal(this.status, 200);
    const response = await fetch(`http://${hostNamed(this, name).adminAddress}/metrics`);
    assert.match(await response.text(), /tanagertray_events_total\{event="call.entryProbed"\} [1-9]/);
});

Then("a patient client of {string} is served", { timeout: scenarioMs }, async function (this: World, name) {
    assert.equal(await call(this, hostNamed(this, name), { id: "last", ...patientClient }), 200);
});
