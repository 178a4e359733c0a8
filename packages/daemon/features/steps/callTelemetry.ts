import { Then, When } from "@cucumber/cucumber";
import type { Event, Span } from "@tanagertray/core";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { send, waitFor, type World as AdminWorld } from "./adminWorld.js";
import { call } from "./callClient.js";
import { entryOf, eventually, hostOf, settleMs, type World as CallWorld } from "./callWorld.js";

type World = CallWorld & { hopSpan: Span; closedAddress: string };

When("a call that its backend server answers after 600 ms is made", async function (this: World) {
    // Warm-up call, which opens the connections and compiles the code.
    await call(entryOf(this), { path: "/x" });
    this.received = await call(entryOf(this), { path: "/slow" });
    await sleep(settleMs);
});

Then(
    "the span of the entry daemon has the stages {string}, none of {int} ms or more",
    function (this: World, names: string, ms: number) {
        const { stages = {} } = entryOf(this).spans[1] as Span;
        assert.equal(Object.keys(stages).sort().join(), names);
        assert.deepEqual(
            Object.entries(stages).filter(([, value]) => value >= ms),
            [],
        );
    },
);

Then("the span of the other daemon has the stages {string}", function (this: World, names: string) {
    this.hopSpan = hostOf(this, 1).spans[1] as Span;
    assert.equal(
        Object.keys(this.hopSpan.stages ?? {})
            .sort()
            .join(),
        names,
    );
});

Then("its stage {string} took {int} ms or more", function (this: World, stage: "backend", ms: number) {
    const took = this.hopSpan.stages?.[stage] ?? 0;
    assert.ok(took >= ms, `${took} ms`);
});

async function eventOf(world: World, name: string, host: number): Promise<Event["fields"]> {
    const find = () => hostOf(world, host).events.find(event => event.name === name);
    assert.ok(await eventually(2_000, () => find() !== undefined), `no ${name}`);
    return (find() as Event).fields;
}

Then(
    "{string} of host {int} names the call and its caller, was read after {int} ms or more, and was not written",
    async function (this: World, name: string, host: number, ms: number) {
        const fields = await eventOf(this, name, host);
        assert.match(String(fields["callId"]), /^[0-9a-f-]{36}$/);
        assert.equal(fields["caller"], "crews");
        assert.ok(Number(fields["readAfterMs"]) >= ms, `${fields["readAfterMs"]} ms`);
        assert.equal(fields["sentAfterMs"], undefined);
    },
);

Then(
    "{string} of host {int} names the call, its trace, its target and the status {int}",
    async function (this: World, name: string, host: number, status: number) {
        const fields = await eventOf(this, name, host);
        assert.equal(fields["callId"], this.received.callId);
        assert.match(String(fields["traceId"]), /^[0-9a-f]{32}$/);
        assert.equal(fields["target"], "h1");
        assert.equal(fields["status"], status);
        assert.ok(Number(fields["sentAfterMs"]) >= 0);
    },
);

When(
    "the backend server of host {int} is down and a call arrives there",
    async function (this: World, host: number) {
        const closedServer = createServer().listen(0, "127.0.0.1");
        await once(closedServer, "listening");
        const { port } = closedServer.address() as AddressInfo;
        closedServer.close();
        await once(closedServer, "close");
        this.closedAddress = `127.0.0.1:${port}`;
        hostOf(this, host).setServer({ address: this.closedAddress });
        this.received = await call(hostOf(this, host), { path: "/x" });
    },
);

Then(
    "{string} of host {int} names the call, the address and the error {string}",
    async function (this: World, name: string, host: number, error: string) {
        const fields = await eventOf(this, name, host);
        assert.equal(fields["callId"], this.received.callId);
        assert.equal(fields["address"], this.closedAddress);
        assert.match(String(fields["error"]), new RegExp(error));
    },
);

When(
    "the backend server of host {int} drains and a call arrives at host {int}",
    async function (this: World, drainingHost: number, entryHost: number) {
        hostOf(this, drainingHost).setServer({ state: "draining", drainingSince: Date.now() });
        this.received = await call(hostOf(this, entryHost), { path: "/x" });
    },
);

Then(
    "{string} of host {int} names the call, its caller, the service and the reason {string}",
    async function (this: World, name: string, host: number, reason: string) {
        const fields = await eventOf(this, name, host);
        assert.equal(fields["callId"], this.received.callId);
        assert.equal(fields["caller"], "crews");
        assert.equal(fields["service"], "orders");
        assert.equal(fields["reason"], reason);
        assert.ok(Number(fields["queuedMs"]) >= 0);
    },
);

When(
    "a span with a wait of {int} ms and an unserved and a refused call are appended to the board",
    async function (this: AdminWorld, ms: number) {
        const events = this.board.claimFeed("callEvents");
        const fields = { result: "notRun", reason: "waitTooLong" };
        events.append({ name: "call.unserved", level: "info", fields });
        events.append({ name: "call.refused", level: "info", fields: { reason: "noRoute" } });
        this.board.claimFeed("spans").append({
            traceId: "0".repeat(31) + "1",
            spanId: "0".repeat(15) + "1",
            name: "entry",
            startedAt: 1_700_000_000_000,
            durationMs: 50,
            failed: true,
            stages: { queue: ms },
            attributes: { service: "board" },
        });
        await waitFor(async () => {
            await send(this, "GET /metrics", "");
            return this.text.includes("tanagertray_span_duration_seconds_count");
        });
        this.board.claimValue("clock").write({ now: Date.now(), pausedForMs: 12 });
        await sleep(settleMs);
    },
);
