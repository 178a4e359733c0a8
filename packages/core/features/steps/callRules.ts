import { Given, Then } from "@cucumber/cucumber";
import {
    consumeRetry,
    createFateTable,
    createRetryBudget,
    deadlineAt,
    markFinished,
    maxFates,
    nextStepAfter,
    parseDeadlineMs,
    recordCall,
    refusal,
    RefusalReason,
    refusalStatus,
    registerCall,
    relayedReason,
    remainingMs,
    resolveFate,
    type FateTable,
} from "@tanagertray/core";
import assert from "node:assert/strict";

interface World {
    table: FateTable;
}

Then("a call deadline is the shorter of the operation's and the caller's, less what was spent", function () {
    assert.equal(deadlineAt(1_000, 500, undefined), 1_500);
    assert.equal(deadlineAt(1_000, 500, 200), 1_200);
    assert.equal(deadlineAt(1_000, 500, 9_000), 1_500);
    assert.equal(remainingMs(1_500, 1_100.5), 399);
    assert.equal(remainingMs(1_500, 1_600), 0);
    const texts = ["1", "600000", "0", "-1", "1.5", "1e3", "600001", "9999999", "", " 5"];
    assert.deepEqual(
        texts.filter(text => parseDeadlineMs(text) !== undefined),
        ["1", "600000"],
    );
});

Then("1000 calls that all need retries get at most 110, and no call gets more than 2", function () {
    const budget = createRetryBudget();
    let total = 0;
    for (let i = 0; i < 1_000; i += 1) {
        recordCall(budget);
        let retries = 0;
        while (consumeRetry(budget, retries)) {
            retries += 1;
        }
        assert.ok(retries <= 2);
        total += retries;
    }
    assert.ok(total <= 110 && total >= 100, `${total} retries`);
});

Then("each call failure leads to the specified next step", function () {
    const steps = (["refused", "neverWritten", "lost", "truncated"] as const).map(failure =>
        [
            { repeatable: true, replayable: true, remote: true },
            { repeatable: false, replayable: true, remote: true },
            { repeatable: false, replayable: true, remote: false },
            { repeatable: true, replayable: false, remote: false },
        ].map(context => nextStepAfter(failure, context)),
    );
    assert.deepEqual(steps, [
        ["retry", "retry", "retry", "sayNotRun"],
        ["retry", "retry", "retry", "sayNotRun"],
        ["retry", "askFate", "sayUnknown", "sayUnknown"],
        ["reset", "reset", "reset", "reset"],
    ]);
});

Given("a fate table", function (this: World) {
    this.table = createFateTable();
});

Then(
    "a barred call cannot start, a started call is running, then finished, and cannot start again",
    function (this: World) {
        assert.equal(resolveFate(this.table, "a", 100, 0), "barred");
        assert.equal(registerCall(this.table, "a", 100, 0), false);
        assert.equal(registerCall(this.table, "b", 100, 0), true);
        assert.equal(resolveFate(this.table, "b", 100, 0), "running");
        markFinished(this.table, "b");
        assert.equal(resolveFate(this.table, "b", 100, 0), "finished");
        assert.equal(registerCall(this.table, "b", 100, 0), false);
    },
);

Then("a full table neither starts nor bars a call, and expired entries are replaced", function (this: World) {
    for (let i = 0; i < maxFates; i += 1) {
        assert.equal(registerCall(this.table, `c${i}`, 100, 0), true);
    }
    assert.equal(registerCall(this.table, "x", 100, 50), false);
    assert.equal(resolveFate(this.table, "y", 100, 50), "running");
    markFinished(this.table, "c0");
    assert.equal(registerCall(this.table, "x", 300, 200), true);
    assert.equal(resolveFate(this.table, "c1", 300, 200), "running", "a running call was removed");
});

Then("every refusal reason has a status of 4xx or 5xx and a positive retry delay", function () {
    for (const reason of Object.values(RefusalReason)) {
        const status = refusalStatus(reason);
        assert.ok(status >= 400 && status < 600);
        assert.ok(refusal(reason).retryAfterMs > 0);
    }
});

Then(
    "the relayed reason of unknown and inconsistent refusals is {string} and others are kept",
    function (reason: string) {
        const given = ["hopRejected", "noRoute", "notAllowed", "malformed", "barred", "toString", "later"];
        assert.deepEqual(
            given.map(relayedReason),
            given.map(() => reason),
        );
        assert.deepEqual(["queueFull", "overShare"].map(relayedReason), ["queueFull", "overShare"]);
    },
);
