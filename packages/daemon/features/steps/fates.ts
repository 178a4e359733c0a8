import { After, Given, Then, When } from "@cucumber/cucumber";
import { MessageKind, type FeedWriter, type IncomingMessage, type ValueWriter } from "@tanagertray/core";
import { createFates, type Fates } from "@tanagertray/daemon/adapters/calls/fates";
import { createBoard, type Board, type ClockState } from "@tanagertray/daemon/board";
import { resolveSettings } from "@tanagertray/daemon/settings/resolveSettings";
import assert from "node:assert/strict";
import { randomUUID } from "node:crypto";
import { setImmediate } from "node:timers/promises";

interface World {
    fateBoard?: Board;
    fates: Fates;
    fateInbox: FeedWriter<IncomingMessage>;
    fateClock: ValueWriter<ClockState>;
    attemptId: string;
    deadline: number;
    /** Current time of the daemon, in milliseconds. */
    fateClockMs: number;
    answers: string[];
}

After(function (this: Partial<World>) {
    this.fates?.close();
    this.fateBoard?.close();
});

const startedAt = 1_000;

async function advanceClock(world: World, now: number): Promise<void> {
    world.fateClockMs = now;
    world.fateClock.write({ now, pausedForMs: 0 });
    await setImmediate();
}

async function startFates(world: World): Promise<void> {
    const endpoint = "127.0.0.1:0";
    const settings = resolveSettings({
        host: "h1",
        failureDomain: "d1",
        region: "r1",
        listen: { calls: endpoint, peer: endpoint, admin: endpoint },
        platform: { url: "http://127.0.0.1:9" },
        keys: { operator: [], backendServer: [], peer: [] },
    });
    const board = createBoard(settings, startedAt);
    world.fateBoard = board;
    world.fateInbox = board.claimFeed("peerInbox");
    world.fateClock = board.claimValue("clock");
    world.fates = createFates(board, () => world.fateClockMs);
    world.answers = [];
    board.follow("callsOutbox", ({ message }) => {
        if (message.kind === MessageKind.Fate) {
            world.answers.push(message.fate);
        }
    });
    await advanceClock(world, startedAt);
    world.attemptId = randomUUID();
}

async function requestFate(world: World): Promise<void> {
    const message = { kind: MessageKind.FateRequest, callId: world.attemptId };
    world.fateInbox.append({ from: "h2", receivedAt: world.fateClockMs, message });
    await setImmediate();
}

Given(
    "a daemon that started a call with a deadline after {int} ms",
    async function (this: World, deadlineMs: number) {
        await startFates(this);
        this.deadline = startedAt + deadlineMs;
        assert.ok(this.fates.start(this.attemptId, { deadline: this.deadline, readAt: startedAt }));
    },
);

Given("a daemon that has read a call", async function (this: World) {
    await startFates(this);
    this.deadline = startedAt + 600_000;
});

When(
    "another daemon asks for its fate, and the process is paused for {int} ms",
    async function (this: World, pausedMs: number) {
        await requestFate(this);
        await advanceClock(this, startedAt + pausedMs);
    },
);

Then("the call does not start", function (this: World) {
    assert.equal(this.fates.start(this.attemptId, { deadline: this.deadline, readAt: startedAt }), false);
});

When(
    "the call ends at its deadline, and another daemon asks for its fate {int} ms later",
    async function (this: World, laterMs: number) {
        await advanceClock(this, this.deadline);
        this.fates.finish(this.attemptId);
        await advanceClock(this, this.deadline + laterMs);
        await requestFate(this);
    },
);

Then("the other daemon learns that it {string}", function (this: World, fate: string) {
    assert.deepEqual(this.answers, [fate]);
});
