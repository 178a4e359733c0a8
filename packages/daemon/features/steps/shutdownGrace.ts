import { Given, Then, When } from "@cucumber/cucumber";
import { steadyNow } from "@tanagertray/daemon/steadyClock";
import assert from "node:assert/strict";
import { call } from "./callClient.js";
import { createDeployment, placements, type DeploymentOptions } from "./callFixture.js";
import { entryOf, eventually, hostOf, resultOf, type World } from "./callWorld.js";

/** One-way latency between daemons in two regions, in milliseconds. */
const linkMs = 12;

Given(
    /^a call deployment whose calls run on (its own|another) host$/,
    async function (this: World, where: string) {
        this.deployment = await createDeployment({
            ...placements[where],
            slots: 20,
            linkDelayMs: linkMs,
        } as DeploymentOptions);
        this.answers = [];
    },
);

When(
    "the daemon stops with {int} calls in flight that never end",
    { timeout: 10_000 },
    async function (this: World, count: number) {
        const calls = Array.from({ length: count }, () =>
            call(entryOf(this), { method: "POST", path: "/never" }),
        );
        assert.ok(await eventually(2_000, () => this.deployment.ledger.length === count));
        await entryOf(this).calls.close();
        this.answers = await Promise.all(calls);
    },
);

When(
    "host {int} stops, accepts calls for {int} ms and aborts them after {int} ms",
    function (this: World, host: number, lingerMs: number, abortMs: number) {
        const now = steadyNow();
        const shutdown = { requested: true, acceptsCallsUntil: now + lingerMs, abortsCallsAt: now + abortMs };
        hostOf(this, host).board.claimValue("shutdown").write(shutdown);
    },
);

Then(/^a new call is (completed|not-run)$/, async function (this: World, result: string) {
    assert.equal(resultOf(await call(entryOf(this), { method: "POST", path: "/x" })), result);
    assert.equal(this.deployment.ledger.length, result === "completed" ? 1 : 0);
});

Then("each of these calls is answered as unknown", function (this: World) {
    assert.deepEqual(
        this.answers.map(resultOf),
        this.answers.map(() => "unknown"),
    );
});
