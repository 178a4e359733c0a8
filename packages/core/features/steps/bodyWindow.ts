import { Then } from "@cucumber/cucumber";
import {
    admitBody,
    BodyAdmission,
    bodyWaitMs,
    createBodyWindow,
    releaseBody,
    type BodyWindow,
    type WaitingBody,
} from "@tanagertray/core";
import assert from "node:assert/strict";
import fc from "fast-check";

const linkMbps = 8;
/** Bytes that the link transfers in 100 ms. */
const windowBytes = 100_000;

interface Step {
    readonly body: WaitingBody;
    /** Position (times 2) of the body that is removed after this one was added; from 0.5 none is removed. */
    readonly removedShare: number;
}

const step: fc.Arbitrary<Step> = fc.record({
    body: fc.record({
        bytes: fc.integer({ min: 4_097, max: 400_000 }),
        priority: fc.integer({ min: 0, max: 2 }),
    }),
    removedShare: fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true }),
});

function assertWithinWindow({ receiving }: BodyWindow): void {
    const sum = [...receiving].reduce((bytes, body) => bytes + body.bytes, 0);
    assert.ok(receiving.size <= 2 || sum <= windowBytes, `${receiving.size} bodies of ${sum} bytes`);
}

/** Runs a sequence of steps, then releases all remaining bodies. Returns the bodies in the order in which they started. */
function runSteps(steps: readonly Step[]): {
    started: WaitingBody[];
    removed: Set<WaitingBody>;
    queued: WaitingBody[];
} {
    const window = createBodyWindow(linkMbps);
    const started: WaitingBody[] = [];
    const removed = new Set<WaitingBody>();
    const queued: WaitingBody[] = [];
    const release = (body: WaitingBody) => {
        started.push(...releaseBody(window, body));
        assertWithinWindow(window);
    };
    for (const { body, removedShare } of steps) {
        if (admitBody(window, body) === BodyAdmission.Queued) {
            queued.push(body);
        }
        assertWithinWindow(window);
        const known = [...window.receiving, ...window.waiting];
        const candidate = known[Math.floor(removedShare * 2 * known.length)];
        if (candidate !== undefined) {
            removed.add(candidate);
            release(candidate);
        }
    }
    for (let next = [...window.receiving][0]; next !== undefined; next = [...window.receiving][0]) {
        release(next);
    }
    assert.equal(window.waiting.length, 0, "a body is queued although none is being received");
    return { started, removed, queued };
}

Then(
    /^(\d+) random sequences of (\d+) bodies stay within the window of a link of 8 Mbit\/s$/,
    function (series: string, bodies: string) {
        const property = fc.property(fc.array(step, { maxLength: Number(bodies) }), steps => {
            const { started, removed, queued } = runSteps(steps);
            const remaining = queued.filter(body => !removed.has(body));
            remaining.forEach(body => assert.ok(started.includes(body), "a queued body was never received"));
        });
        fc.assert(property, { numRuns: Number(series), seed: 18 });
    },
);

Then("in each of them the queued bodies are received by priority and then in order of arrival", function () {
    const property = fc.property(fc.array(step, { maxLength: 40 }), steps => {
        const { started, queued } = runSteps(steps);
        const order = new Map(queued.map((body, at) => [body, at]));
        started.forEach((body, at) => {
            const earlier = started
                .slice(at + 1)
                .filter(other => other.priority === body.priority)
                .find(other => (order.get(other) ?? 0) < (order.get(body) ?? 0));
            assert.equal(earlier, undefined, "a body of the same priority overtook another");
        });
    });
    fc.assert(property, { numRuns: 500, seed: 19 });
});

Then(
    "a body behind {int} bodies of {int} bytes waits {int} ms on a link of 8 Mbit per second",
    function (ahead: number, size: number, ms: number) {
        const window = createBodyWindow(linkMbps);
        Array.from({ length: ahead }, () => admitBody(window, { bytes: size, priority: 1 }));
        assert.equal(bodyWaitMs(window, { priority: 1 }), ms);
    },
);

Then(
    "the body after {int} that are being received and {int} that are queued is refused",
    function (now: number, waiting: number) {
        const window = createBodyWindow(linkMbps);
        const turns = Array.from({ length: now + waiting + 1 }, () =>
            admitBody(window, { bytes: 100_000, priority: 0 }),
        );
        assert.deepEqual(
            [BodyAdmission.Started, BodyAdmission.Queued, BodyAdmission.Refused].map(
                turn => turns.filter(t => t === turn).length,
            ),
            [now, waiting, 1],
        );
    },
);
