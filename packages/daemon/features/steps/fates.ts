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
    /** Milliseconds by the clock of the daemon. */
    fateNow: number;
    answers: string[];
}

After(function (this: Partial<World>) {
    this.fates?.close();
    this.fateBoard?.close();
});

const startedAt = 1_000;

async function passTo(world: World, now: number): Promise<void> {
    world.fateNow = now;
    world.fateClock.write({ now, pausedForMs: 0 });
    await setImmediate();
}

Given(
    "a daemon that started a call with a deadline after {int} ms",
    async function (this: World, deadlineMs: number) {
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
        this.fateBoard = board;
        this.fateInbox = board.claimFeed("peerInbox");
        this.fateClock = board.claimValue("clock");
        this.fates = createFates(board, () => this.fateNow);
        this.answers = [];
        board.follow("callsOutbox", ({ message }) => {
            if (message.kind === MessageKind.Fate) {
                this.answers.push(message.fate);
            }
        });
        await passTo(this, startedAt);
        this.attemptId = randomUUID();
        this.deadline = startedAt + deadlineMs;
        assert.ok(this.fates.start(this.attemptId, this.deadline));
    },
);

When(
    "the call ends at its deadline, and another daemon asks for its fate {int} ms later",
    async function (this: World, laterMs: number) {
        await passTo(this, this.deadline);
        this.fates.finish(this.attemptId);
        await passTo(this, this.deadline + laterMs);
        const message = { kind: MessageKind.FateRequest, callId: this.attemptId };
        this.fateInbox.append({ from: "h2", receivedAt: this.fateNow, message });
        await setImmediate();
    },
);

Then("the other daemon learns that it {string}", function (this: World, fate: string) {
    assert.deepEqual(this.answers, [fate]);
});
