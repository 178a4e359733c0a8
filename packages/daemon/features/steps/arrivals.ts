import { Given, Then, When } from "@cucumber/cucumber";
import { createArrivals, type Arrivals } from "@tanagertray/daemon/adapters/calls/arrivals";
import {
    earliestArrival,
    timeLimitsOf,
    type CallTimeLimits,
} from "@tanagertray/daemon/adapters/calls/incoming";
import { createBoard, type Board } from "@tanagertray/daemon/board";
import { resolveSettings } from "@tanagertray/daemon/settings/resolveSettings";
import type { MatchedCall } from "@tanagertray/core";
import assert from "node:assert/strict";
import { Socket } from "node:net";
import { validSettings } from "./validSettings.js";

interface World {
    board: Board;
    times: CallTimeLimits;
    arrivals: Arrivals;
    socket: Socket;
    loop: { now: number; idleMs: number; tasks: (() => void)[] };
}

const idleSocket = new Socket();

function endTurn(world: World, endsAt: number): void {
    world.loop.now = endsAt;
    world.loop.tasks.splice(0).forEach(task => task());
}

Given(
    "an event loop that is always busy, with turns that end at {int} and {int} ms",
    function (this: World, firstEnd: number, secondEnd: number) {
        const loop: World["loop"] = { now: 0, idleMs: 0, tasks: [] };
        this.loop = loop;
        this.socket = new Socket();
        this.arrivals = createArrivals(createBoard(resolveSettings(validSettings()), 0), {
            now: () => loop.now,
            loop: { idleMs: () => loop.idleMs, atTurnEnd: task => loop.tasks.push(task) },
        });
        for (const endsAt of [firstEnd, secondEnd]) {
            this.arrivals.earliest(idleSocket);
            endTurn(this, endsAt);
        }
    },
);

When(
    "a connection is accepted at {int} ms and the turn ends at {int} ms",
    function (this: World, acceptedAt: number, endsAt: number) {
        this.loop.now = acceptedAt;
        this.socket = new Socket();
        this.arrivals.noteConnection(this.socket);
        endTurn(this, endsAt);
    },
);

Then(
    "its first request, read at {int} ms, counts as arrived at {int} ms, and the next one at {int} ms",
    function (this: World, readAt: number, firstArrival: number, nextArrival: number) {
        this.loop.now = readAt;
        assert.equal(this.arrivals.earliest(this.socket), firstArrival);
        assert.equal(this.arrivals.earliest(this.socket), nextArrival);
    },
);

When("the loop waits from {int} ms for {int} ms", function (this: World, startsAt: number, waitMs: number) {
    this.loop.now = startsAt + waitMs;
    this.loop.idleMs += waitMs;
});

Then(
    "a request that is read at {int} ms counts as arrived at {int} ms",
    function (this: World, readAt: number, arrivedAt: number) {
        this.loop.now = readAt;
        assert.equal(this.arrivals.earliest(this.socket), arrivedAt);
    },
);

When("the last tick of the clock came {int} ms late", function (this: World, lateMs: number) {
    this.board = createBoard(resolveSettings(validSettings()), 0);
    this.board.claimValue("clock").write({ now: 1_000, pausedForMs: lateMs });
});

When("the last tick of the clock came {int} ms ago", function (this: World, agoMs: number) {
    this.board = createBoard(resolveSettings(validSettings()), 0);
    this.board.claimValue("clock").write({ now: 1_010 - agoMs, pausedForMs: 0 });
});

When(
    "connections are accepted in each turn of {int} ms until {int} ms",
    function (this: World, turnMs: number, untilMs: number) {
        for (let endsAt = this.loop.now + turnMs; endsAt <= untilMs; endsAt += turnMs) {
            this.socket = new Socket();
            this.loop.now = endsAt - turnMs / 2;
            this.arrivals.noteConnection(this.socket);
            endTurn(this, endsAt);
        }
    },
);

When(
    "a call arrives at {int} ms with a deadline of {int} ms that its entry daemon would forward for {int} ms more",
    function (this: World, arrivedAt: number, requestedDeadlineMs: number, startWithinMs: number) {
        const board = createBoard(resolveSettings(validSettings()), arrivedAt);
        const matched = { operation: { deadlineMs: 5_000 } } as MatchedCall;
        this.times = timeLimitsOf(
            { board, now: () => arrivedAt },
            { matched, requestedDeadlineMs, startWithinMs },
            arrivedAt,
        );
    },
);

Then(
    "it may be started until {int} ms and run until {int} ms",
    function (this: World, startBy: number, deadline: number) {
        assert.deepEqual(this.times, { deadline, startBy });
    },
);

Then(
    "a request that the loop says has just arrived counts as arrived {int} ms before",
    function (this: World, beforeMs: number) {
        const readAt = 1_010;
        const arrivals = { earliest: () => readAt, noteConnection: () => undefined, close: () => undefined };
        const context = { arrivals, board: this.board, now: () => readAt };
        assert.equal(earliestArrival(context, { socket: idleSocket }), readAt - beforeMs);
    },
);
