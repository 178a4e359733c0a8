import { Then, When } from "@cucumber/cucumber";
import { refusalWhenLate, type Refusal, type RefusalReason } from "@tanagertray/core";
import assert from "node:assert/strict";
import { createSeededRandom } from "../support/seededRandom.js";

interface World {
    refused: Refusal | undefined;
    offered: Offered;
}

/** Load of the processor of one daemon, whose callers ask again when nobody answers or when they are told to. */
interface Offered {
    /** Calls that arrive for each one that the processor could carry, without those that are asked again. */
    readonly rate: number;
    readonly forMs: number;
}

/** Processor time of a call, and of a refusal. */
const callMs = 3;
const refusalMs = 0.3;
/** Work of the backend server. */
const workMs = 120;
const deadlineMs = 1_200;
/** Time after which a caller gives an attempt up that nobody has read. */
const patienceMs = deadlineMs / 3;
const maxAttempts = 3;

interface Attempt {
    readonly at: number;
    readonly deadline: number;
    readonly number: number;
}

/** Replays a load in virtual time; returns the share of the processor that went into calls that were served. */
function usefulShare({ rate, forMs }: Offered, refuses: boolean): number {
    const random = createSeededRandom(7);
    const waiting: Attempt[] = [];
    for (let at = 0; at < forMs; at -= (Math.log(1 - random()) * callMs) / rate) {
        waiting.push({ at, deadline: at + deadlineMs, number: 1 });
    }
    let now = 0;
    let served = 0;

    function askAgain({ deadline, number }: Attempt, at: number): void {
        if (number < maxAttempts && at < deadline) {
            const behind = waiting.findIndex(other => other.at > at);
            waiting.splice(behind < 0 ? waiting.length : behind, 0, { at, deadline, number: number + 1 });
        }
    }

    for (let next = waiting.shift(); next !== undefined && now < forMs; next = waiting.shift()) {
        now = Math.max(now, next.at);
        const lateMs = now - next.at;
        const refused = refuses
            ? refusalWhenLate({ lateMs, deadlineMs: next.deadline - next.at })
            : undefined;
        now += refused === undefined ? callMs : refusalMs;
        if (refused !== undefined) {
            askAgain(next, now + refused.retryAfterMs);
        } else if (lateMs > patienceMs) {
            askAgain(next, next.at + patienceMs);
        } else {
            served += now + workMs <= next.deadline ? 1 : 0;
        }
    }
    return (served * callMs) / forMs;
}

When(
    "{int}% of what the processor of a daemon can carry arrive for {int} s",
    function (this: World, percent: number, seconds: number) {
        this.offered = { rate: percent / 100, forMs: seconds * 1_000 };
    },
);

Then(
    "at least {int}% of the processor goes into calls that are served",
    function (this: World, percent: number) {
        const share = usefulShare(this.offered, true);
        assert.ok(share >= percent / 100, `${share} of the processor`);
    },
);

Then("without refusals of late calls less than {int}% does", function (this: World, percent: number) {
    const share = usefulShare(this.offered, false);
    assert.ok(share < percent / 100, `${share} of the processor`);
});

When(
    "a call with {int} ms is read {int} ms late",
    function (this: World, deadlineMs: number, lateMs: number) {
        this.refused = refusalWhenLate({ lateMs, deadlineMs });
    },
);

Then("the late call is taken", function (this: World) {
    assert.equal(this.refused, undefined);
});

Then(
    "the late call is refused as {word} for {int} ms",
    function (this: World, reason: RefusalReason, retryAfterMs: number) {
        assert.deepEqual(this.refused, { reason, retryAfterMs });
    },
);
