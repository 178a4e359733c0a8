import { Then, When } from "@cucumber/cucumber";
import { refusalIfReadLate, type Refusal, type RefusalReason } from "@tanagertray/core";
import assert from "node:assert/strict";
import { createSeededRandom } from "../support/seededRandom.js";

interface World {
    refused: Refusal | undefined;
    offered: OfferedLoad;
}

/** Offered load of one daemon. Its callers retry after an attempt timeout and after a refusal. */
interface OfferedLoad {
    /** Arrival rate without retries, relative to the rate that the processor can handle. */
    readonly rate: number;
    readonly forMs: number;
}

/** Processor time of a forwarded call, and of a refusal. */
const callCpuMs = 3;
const refusalCpuMs = 0.3;
/** Service time at the backend server. */
const workMs = 120;
const deadlineMs = 1_200;
/** Time after which a caller gives up an attempt that the daemon has not read. */
const attemptTimeoutMs = deadlineMs / 3;
const maxAttempts = 3;

interface Attempt {
    readonly at: number;
    readonly deadline: number;
    readonly number: number;
}

/** Simulates a load in virtual time; returns the share of processor time spent on calls that were served. */
function servedProcessorShare({ rate, forMs }: OfferedLoad, refusesLateCalls: boolean): number {
    const random = createSeededRandom(7);
    const waiting: Attempt[] = [];
    for (let at = 0; at < forMs; at -= (Math.log(1 - random()) * callCpuMs) / rate) {
        waiting.push({ at, deadline: at + deadlineMs, number: 1 });
    }
    let now = 0;
    let served = 0;

    function scheduleRetry({ deadline, number }: Attempt, at: number): void {
        if (number < maxAttempts && at < deadline) {
            const position = waiting.findIndex(other => other.at > at);
            waiting.splice(position < 0 ? waiting.length : position, 0, { at, deadline, number: number + 1 });
        }
    }

    for (let next = waiting.shift(); next !== undefined && now < forMs; next = waiting.shift()) {
        now = Math.max(now, next.at);
        const lateMs = now - next.at;
        const refused = refusesLateCalls
            ? refusalIfReadLate({ lateMs, deadlineMs: next.deadline - next.at })
            : undefined;
        now += refused === undefined ? callCpuMs : refusalCpuMs;
        if (refused !== undefined) {
            scheduleRetry(next, now + refused.retryAfterMs);
        } else if (lateMs > attemptTimeoutMs) {
            scheduleRetry(next, next.at + attemptTimeoutMs);
        } else {
            served += now + workMs <= next.deadline ? 1 : 0;
        }
    }
    return (served * callCpuMs) / forMs;
}

When(
    "calls at {int}% of the processor capacity of a daemon arrive for {int} s",
    function (this: World, percent: number, seconds: number) {
        this.offered = { rate: percent / 100, forMs: seconds * 1_000 };
    },
);

Then(
    "at least {int}% of the processor time goes to calls that are served",
    function (this: World, percent: number) {
        const share = servedProcessorShare(this.offered, true);
        assert.ok(share >= percent / 100, `${share} of the processor time`);
    },
);

Then(
    "without refusals of calls that are read late less than {int}% does",
    function (this: World, percent: number) {
        const share = servedProcessorShare(this.offered, false);
        assert.ok(share < percent / 100, `${share} of the processor time`);
    },
);

When(
    "a call with a deadline of {int} ms is read {int} ms after its arrival",
    function (this: World, deadlineMs: number, lateMs: number) {
        this.refused = refusalIfReadLate({ lateMs, deadlineMs });
    },
);

Then("the call that was read late is accepted", function (this: World) {
    assert.equal(this.refused, undefined);
});

Then(
    "the call that was read late is refused as {word} for {int} ms",
    function (this: World, reason: RefusalReason, retryAfterMs: number) {
        assert.deepEqual(this.refused, { reason, retryAfterMs });
    },
);
