import { Given, Then, When } from "@cucumber/cucumber";
import {
    admitNext,
    availableCapacities,
    createServiceAdmission,
    isCallerConfirmed,
    maxQueuedCalls,
    readAnnouncement,
    releaseSlot,
    removeExpired,
    removeUnconfirmed,
    removeWaiting,
    requestAdmission,
    type AdmissionDecision,
    type BackendServer,
    type Service,
    type ServiceAdmission,
    type WaitingCall,
} from "@tanagertray/core";
import assert from "node:assert/strict";
import fc from "fast-check";

interface World {
    state: ServiceAdmission;
    decision: AdmissionDecision;
}

const now = 1_000_000;
const service: Service = {
    kind: "service",
    name: "s",
    slots: 5,
    connections: 100,
    drainMs: 0,
    coldStartMs: 0,
};

function backendServerWith(change: Partial<BackendServer> = {}): BackendServer {
    return {
        id: "b1",
        service: "s",
        address: "127.0.0.1:80",
        incarnation: 1,
        counter: 1,
        state: "serving",
        announcedAt: now,
        firstSeenAt: now,
        ...change,
    };
}

let nextId = 0;
function waitingCall(partner: string, share: number, leftMs = 10_000): WaitingCall {
    nextId += 1;
    return { callId: `c${nextId}`, partner, share, deadline: now + leftMs };
}

/** Creates a call that queues behind all others of its partner, however little time it has left. */
function lowPriorityCall(partner: string): WaitingCall {
    return { ...waitingCall(partner, 1), priority: 1 };
}

const capacities = availableCapacities(service, [backendServerWith({ slots: 4 })], now);
const requestSlot = (world: World, call: WaitingCall) => requestAdmission(world.state, call, capacities, now);

Then("admission capacities are 3 by slots, 2 by connections and 5 by configuration", function () {
    const servers = [
        backendServerWith({ id: "a", slots: 3 }),
        backendServerWith({ id: "b", connections: 2 }),
        backendServerWith({ id: "c", slots: 50 }),
    ];
    const slots = availableCapacities(service, servers, now).map(capacity => capacity.slots);
    assert.deepEqual(slots, [3, 2, 5]);
});

const unavailableServers: Record<string, BackendServer[]> = {
    draining: [backendServerWith({ state: "draining" })],
    silent: [backendServerWith({ announcedAt: now - 3_001 })],
    unknown: [backendServerWith({ service: "other" })],
};

When("admission is requested with a backend server that is {word}", function (this: World, state: string) {
    const servers = unavailableServers[state] as BackendServer[];
    this.decision = requestAdmission(
        createServiceAdmission(),
        waitingCall("east", 1),
        availableCapacities(service, servers, now),
        now,
    );
});

Then("the admission is refused as {string} with a retry delay", function (this: World, reason: string) {
    assert.ok(this.decision.kind === "refused");
    assert.equal(this.decision.refusal.reason, reason);
    assert.ok(this.decision.refusal.retryAfterMs > 0);
});

Then("random admissions and releases never exceed the slots and lose no call", function () {
    const operationLists = fc.array(fc.constantFrom("askEast", "askWest", "release"), { maxLength: 300 });
    fc.assert(
        fc.property(operationLists, operations => {
            const state = createServiceAdmission();
            const running: string[] = [];
            const counts = { asked: 0, refused: 0, ended: 0 };
            const admitWaiting = () => {
                for (let next = admitNext(state, capacities); next; next = admitNext(state, capacities)) {
                    running.push(next.call.partner);
                }
            };
            for (const operation of operations) {
                if (operation === "release") {
                    const partner = running.shift();
                    if (partner !== undefined) {
                        releaseSlot(state, { partner }, "b1", 1);
                        counts.ended += 1;
                        admitWaiting();
                    }
                    continue;
                }
                const partner = operation === "askEast" ? "east" : "west";
                const decision = requestAdmission(state, waitingCall(partner, 1), capacities, now);
                counts.asked += 1;
                counts.refused += decision.kind === "refused" ? 1 : 0;
                counts.refused += decision.kind === "queued" && decision.dropped !== undefined ? 1 : 0;
                if (decision.kind === "admitted") {
                    running.push(partner);
                }
                assert.ok(running.length <= 4);
                assert.ok(state.queued <= maxQueuedCalls);
            }
            assert.equal(counts.asked, counts.refused + counts.ended + running.length + state.queued);
        }),
        { seed: 11, numRuns: 200 },
    );
});

Given(
    "an admission state with {int} slots in use by partner {string} of share {int}",
    function (this: World, slots: number, partner: string, share: number) {
        this.state = createServiceAdmission();
        for (let i = 0; i < slots; i += 1) {
            assert.equal(requestSlot(this, waitingCall(partner, share)).kind, "admitted");
        }
    },
);

When(
    "partner {string} queues {int} calls and then partner {string} of share {int} queues {int} calls",
    function (this: World, first: string, firstCalls: number, second: string, share: number, calls: number) {
        for (let i = 0; i < firstCalls; i += 1) {
            assert.equal(requestSlot(this, waitingCall(first, 1)).kind, "queued");
        }
        for (let i = 0; i < calls; i += 1) {
            assert.equal(requestSlot(this, waitingCall(second, share)).kind, "queued");
        }
    },
);

Then(
    "of the next {int} admitted calls {int} are from {string} and {int} from {string} while none ends",
    function (
        this: World,
        total: number,
        first: number,
        firstName: string,
        second: number,
        secondName: string,
    ) {
        [1, 2, 3, 4].forEach(() => releaseSlot(this.state, { partner: "east" }, "b1", 10));
        const enlargedCapacities = availableCapacities(
            { ...service, slots: total },
            [backendServerWith()],
            now,
        );
        const admitted = Array.from(
            { length: total },
            () => admitNext(this.state, enlargedCapacities)?.call.partner,
        );
        assert.equal(admitted.filter(partner => partner === firstName).length, first);
        assert.equal(admitted.filter(partner => partner === secondName).length, second);
    },
);

When(
    "partner {string} fills the queue and then partner {string} requests a slot",
    function (this: World, first: string, second: string) {
        for (let i = 0; i < maxQueuedCalls; i += 1) {
            assert.equal(requestSlot(this, waitingCall(first, 1)).kind, "queued");
        }
        this.decision = requestSlot(this, waitingCall(second, 1));
    },
);

When(
    "{int} calls of {string} wait and a call of {string} has {int} ms left where calls take 10 ms",
    function (this: World, count: number, first: string, second: string, leftMs: number) {
        Array.from({ length: count }, () => requestSlot(this, waitingCall(first, 1)));
        this.decision = requestSlot(this, { ...lowPriorityCall(second), deadline: now + leftMs });
    },
);

Then(
    "the call of {string} waits and a call of {string} is refused as {string}",
    function (this: World, waiting: string, refused: string, reason: string) {
        assert.equal(this.decision.kind, "queued");
        assert.equal(this.state.partners.get(waiting)?.queue.length, 1);
        const decision = requestSlot(this, { ...lowPriorityCall(refused), deadline: now + 50 });
        assert.ok(decision.kind === "refused");
        assert.equal(decision.refusal.reason, reason);
    },
);

Then(
    "a call with {int} ms left is refused and one with {int} ms left waits where calls take 10 ms",
    function (this: World, refusedMs: number, waitingMs: number) {
        const kinds = [refusedMs, waitingMs].map(
            leftMs => requestSlot(this, { ...lowPriorityCall("east"), deadline: now + leftMs }).kind,
        );
        assert.deepEqual(kinds, ["refused", "queued"]);
    },
);

Then(
    "a waiting call of {string} is dropped and the call of {string} waits",
    function (this: World, dropped: string, waiting: string) {
        assert.ok(this.decision.kind === "queued");
        assert.equal(this.decision.dropped?.partner, dropped);
        assert.equal(this.state.partners.get(waiting)?.queue.length, 1);
        assert.equal(this.state.queued, maxQueuedCalls);
    },
);

Then(
    "a further call of {string} is refused as {string}",
    function (this: World, partner: string, reason: string) {
        const decision = requestSlot(this, waitingCall(partner, 1));
        assert.ok(decision.kind === "refused");
        assert.equal(decision.refusal.reason, reason);
    },
);

When(
    "{int} calls wait and a call has {int} ms left where calls take 10 ms",
    function (this: World, waiting: number, leftMs: number) {
        for (let i = 0; i < waiting; i += 1) {
            assert.equal(requestSlot(this, waitingCall("east", 1)).kind, "queued");
        }
        this.decision = requestSlot(this, { ...lowPriorityCall("east"), deadline: now + leftMs });
    },
);

Then("expired and cancelled calls are removed and the others stay", function (this: World) {
    const calls = [waitingCall("east", 1, 100), waitingCall("east", 1, 200), waitingCall("west", 1, 300)];
    calls.forEach(call => assert.equal(requestSlot(this, call).kind, "queued"));
    assert.deepEqual(removeExpired(this.state, now + 150), [calls[0]]);
    assert.equal(removeWaiting(this.state, calls[1] as WaitingCall), true);
    assert.equal(removeWaiting(this.state, calls[1] as WaitingCall), false);
    assert.equal(this.state.queued, 1);
    releaseSlot(this.state, { partner: "east" }, "b1", 10);
    assert.equal(admitNext(this.state, capacities)?.call, calls[2]);
});

Then(
    "of three waiting calls, the second and the third are admitted while the first may not start, and then the first",
    function (this: World) {
        const calls = [waitingCall("east", 1), waitingCall("east", 1), waitingCall("west", 1)];
        calls.forEach(call => assert.equal(requestSlot(this, call).kind, "queued"));
        [1, 2, 3].forEach(() => releaseSlot(this.state, { partner: "east" }, "b1", 10));
        const mayStart = (call: WaitingCall) => call !== calls[0];
        const admit = () => admitNext(this.state, capacities, { mayStart })?.call;
        assert.deepEqual([admit(), admit(), admit()], [calls[2], calls[1], undefined]);
        assert.equal(this.state.queued, 1);
        assert.equal(admitNext(this.state, capacities)?.call, calls[0]);
        assert.equal(this.state.queued, 0);
    },
);

/** Entry daemon that last confirmed its callers too long ago, and the signs of its callers before and after it was asked. */
const entry = { confirmedAt: now - 10_000 };
const callerOf = (watchedSince: number) => ({ entry, seenAt: entry.confirmedAt, watchedSince });

Then(
    "a waiting call whose caller is not confirmed leaves the free slot to the next call, and is refused when its entry daemon did not confirm it",
    function () {
        const state = createServiceAdmission();
        const unconfirmed = { ...waitingCall("east", 1), caller: callerOf(-Infinity) };
        assert.equal(requestAdmission(state, unconfirmed, capacities, now).kind, "queued");
        const next = requestAdmission(state, waitingCall("west", 1), capacities, now);
        assert.equal(next.kind, "admitted");
        assert.deepEqual(removeUnconfirmed(state, capacities, { entry, now }), [unconfirmed]);
        assert.equal(state.queued, 0);
    },
);

Then(
    "a caller counts as confirmed for 450 ms, by its entry daemon only from the time on at which that reads from it",
    function () {
        const confirmed = { entry: { confirmedAt: now }, seenAt: now - 500 };
        assert.equal(isCallerConfirmed({ ...confirmed, watchedSince: now }, now + 450), true);
        assert.equal(isCallerConfirmed({ ...confirmed, watchedSince: now }, now + 451), false);
        assert.equal(isCallerConfirmed({ ...confirmed, watchedSince: now + 1 }, now), false);
        assert.equal(isCallerConfirmed({ ...confirmed, seenAt: now, watchedSince: Infinity }, now), true);
    },
);

Then(
    /^an announcement with (\w+) of (.+) is (valid|invalid)$/,
    function (field: string, value: string, verdict: string) {
        const result = readAnnouncement({ ...backendServerWith(), [field]: JSON.parse(value) as unknown });
        assert.equal(result.isRight(), verdict === "valid");
        result.ifLeft(({ where }) => assert.equal(where, field));
        result.ifRight(announcement =>
            assert.ok(!("announcedAt" in announcement), "an unknown field was accepted"),
        );
    },
);

Then(
    "a waiting call with {int} ms left of an operation that takes {int} ms expires after {int} ms and not after {int} ms",
    function (this: World, leftMs: number, runMs: number, afterMs: number, beforeMs: number) {
        const operation = "read";
        releaseSlot(this.state, { partner: "east", operation }, "b1", runMs);
        assert.equal(requestSlot(this, waitingCall("east", 1)).kind, "admitted");
        const call = { ...waitingCall("east", 1, leftMs), operation };
        assert.equal(requestSlot(this, call).kind, "queued");
        assert.deepEqual(removeExpired(this.state, now + beforeMs), []);
        assert.deepEqual(removeExpired(this.state, now + afterMs), [call]);
    },
);
