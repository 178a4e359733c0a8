import { Then, When } from "@cucumber/cucumber";
import {
    admitNext,
    availableCapacities,
    createServiceAdmission,
    releaseSlot,
    removeExpired,
    requestAdmission,
    type BackendServer,
    type Service,
    type ServiceAdmission,
    type WaitingCall,
} from "@tanagertray/core";
import assert from "node:assert/strict";
import { createSeededRandom } from "../support/seededRandom.js";

interface World {
    load: Load;
    loads: readonly Load[];
    state: ServiceAdmission;
}

interface Load {
    /** @default "" */
    readonly operation?: string;
    readonly rate: number;
    readonly forMs: number;
    readonly objectiveMs: number;
    readonly deadlineMs: number;
    readonly workMs: number;
}

const slots = 18;
const meanWorkMs = 120;
const partner = "p";
const service: Service = { kind: "service", name: "s", slots, connections: 130, drainMs: 0, coldStartMs: 0 };
const server: BackendServer = {
    id: "b",
    service: "s",
    address: "127.0.0.1:80",
    incarnation: 1,
    counter: 1,
    state: "serving",
    announcedAt: Number.MAX_SAFE_INTEGER,
    firstSeenAt: 0,
};
const capacities = availableCapacities(service, [server], 0);

interface Running {
    readonly call: WaitingCall;
    readonly startedAt: number;
    readonly endsAt: number;
}

/** Arrival time of a call and the load that it belongs to. */
interface Arrival {
    readonly load: Load;
    readonly at: number;
}

/** Simulates loads together in virtual time; returns for each load the share of calls answered within the objective. */
function sharesInTime(loads: readonly Load[], hasObjective: boolean): readonly number[] {
    const random = createSeededRandom(11);
    const state = createServiceAdmission();
    const running: Running[] = [];
    const arrivals = new Map<string, Arrival>();
    const calls = new Map(loads.map(load => [load, 0]));
    const inTime = new Map(loads.map(load => [load, 0]));

    function start(call: WaitingCall, at: number): void {
        const { load } = arrivals.get(call.callId) as Arrival;
        const workMs = load.workMs * (0.3 + 1.4 * random());
        running.push({ call, startedAt: at, endsAt: at + workMs });
    }

    function finish(at: number): void {
        for (const finished of running.filter(({ endsAt }) => endsAt <= at)) {
            running.splice(running.indexOf(finished), 1);
            const { load, at: arrivedAt } = arrivals.get(finished.call.callId) as Arrival;
            const isInTime = finished.endsAt - arrivedAt <= load.objectiveMs;
            inTime.set(load, (inTime.get(load) ?? 0) + (isInTime ? 1 : 0));
            releaseSlot(state, finished.call, server.id, finished.endsAt - finished.startedAt);
        }
        removeExpired(state, at);
        for (let next = admitNext(state, capacities); next !== undefined;) {
            start(next.call, at);
            next = admitNext(state, capacities);
        }
    }

    function arrive(load: Load, at: number): void {
        calls.set(load, (calls.get(load) ?? 0) + 1);
        const callId = `c${arrivals.size + 1}`;
        arrivals.set(callId, { load, at });
        const objective = hasObjective ? { objective: at + load.objectiveMs } : {};
        const operation = load.operation ?? "";
        const call = { callId, partner, share: 1, operation, deadline: at + load.deadlineMs, ...objective };
        if (requestAdmission(state, call, capacities, at).kind === "admitted") {
            start(call, at);
        }
    }

    const forMs = Math.max(...loads.map(load => load.forMs));
    for (let at = 0; at < forMs; at += 1) {
        finish(at);
        for (const load of loads) {
            for (let due = (slots / load.workMs) * load.rate; due > random(); due -= 1) {
                arrive(load, at);
            }
        }
    }
    return loads.map(load => (inTime.get(load) ?? 0) / (calls.get(load) ?? 1));
}

function shareInTime(load: Load, hasObjective: boolean): number {
    return sharesInTime([load], hasObjective)[0] ?? 0;
}

When(
    "orders at {int}% of the capacity and calls of other services at {int}% arrive for {int} s",
    function (this: World, orders: number, others: number, seconds: number) {
        const forMs = seconds * 1_000;
        this.loads = [
            {
                ...{ operation: "order", rate: orders / 100, forMs },
                ...{ workMs: 286, objectiveMs: 1_043, deadlineMs: 4_174 },
            },
            {
                ...{ operation: "status", rate: others / 100, forMs },
                ...{ workMs: 55, objectiveMs: 292, deadlineMs: 934 },
            },
        ];
    },
);

Then(
    "at least {int}% of the orders and {int}% of the calls of other services are answered within the objective",
    function (this: World, orders: number, others: number) {
        const shares = sharesInTime(this.loads, true);
        const [ordersInTime = 0, othersInTime = 0] = shares;
        assert.ok(ordersInTime >= orders / 100 && othersInTime >= others / 100, shares.join(", "));
    },
);

When(
    "calls at {int}% of the capacity arrive for {int} s with an objective of {int} ms and a deadline of {int} ms",
    function (this: World, percent: number, seconds: number, objectiveMs: number, deadlineMs: number) {
        const rate = percent / 100;
        this.load = { rate, forMs: seconds * 1_000, objectiveMs, deadlineMs, workMs: meanWorkMs };
    },
);

When(
    "calls at {int}% of the capacity arrive for {int} s with work of {int} ms, an objective of {int} ms and a deadline of {int} ms",
    function (
        this: World,
        percent: number,
        seconds: number,
        workMs: number,
        objectiveMs: number,
        deadlineMs: number,
    ) {
        this.load = { rate: percent / 100, forMs: seconds * 1_000, objectiveMs, deadlineMs, workMs };
    },
);

Then(
    "at least {int}% of all calls are answered within the objective",
    function (this: World, percent: number) {
        const share = shareInTime(this.load, true);
        assert.ok(share >= percent / 100, `${share} were answered within the objective`);
    },
);

Then("without an objective less than {int}% are", function (this: World, percent: number) {
    const share = shareInTime(this.load, false);
    assert.ok(share < percent / 100, `${share} were answered within the objective`);
});

Then("calls of priority 2, 1, 2 and 0 are admitted in the order 0, 1, 2, 2", function (this: World) {
    const waiting = [2, 1, 2, 0].map((priority, at) => ({
        callId: `w${at}`,
        partner: "east",
        share: 1,
        deadline: 1_010_000,
        priority,
    }));
    const full = availableCapacities(service, [{ ...server, id: "b1", slots: 4 }], 0);
    waiting.forEach(call => assert.equal(requestAdmission(this.state, call, full, 1_000_000).kind, "queued"));
    const order: number[] = [];
    const free = availableCapacities(service, [{ ...server, id: "b2" }], 0);
    for (let next = admitNext(this.state, free); next !== undefined; next = admitNext(this.state, free)) {
        order.push((next.call as (typeof waiting)[number]).priority);
    }
    assert.deepEqual(order, [0, 1, 2, 2]);
});
