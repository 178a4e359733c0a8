import { After, Given, Then, When } from "@cucumber/cucumber";
import {
    headKey,
    PlatformAnswer,
    PlatformOperation,
    type FeedWriter,
    type PlatformCommand,
    type PlatformResult,
} from "@tanagertray/core";
import { createBoard, resolveSettings, type Board } from "@tanagertray/daemon";
import { createPlatformClient } from "@tanagertray/daemon/adapters/platform/platformClient";
import { createReadiness } from "@tanagertray/daemon/controllers/readiness";
import type { Closeable } from "@tanagertray/daemon";
import assert from "node:assert/strict";

interface World {
    starting: {
        readonly board: Board;
        readonly readiness: Closeable;
        readonly setClock: (now: number) => void;
    };
    /** Advances the time, and the clock of the daemon if a tick comes. */
    advance: (
        ms: number,
        options?: { readonly pausedForMs?: number; readonly isTick?: boolean },
    ) => Promise<void>;
    reads: FeedWriter<PlatformCommand>;
    /** Answers the last request to the platform. */
    answer: (result: PlatformResult) => void;
}

const start = 1_000_000;
const version = 3;

After(function (this: Partial<World>) {
    this.starting?.readiness.close();
});

const settings = resolveSettings({
    host: "a1",
    failureDomain: "a",
    region: "r",
    listen: { calls: "127.0.0.1:1", peer: "127.0.0.1:2", admin: "127.0.0.1:3" },
    platform: { url: "http://127.0.0.1:1" },
    trustedNetwork: true,
});
const change = {
    version,
    revision: version,
    manifestHash: "h",
    operator: "o",
    writeId: "w",
    acceptedAt: 0,
};
const head = { ...change, token: 1, history: [change] };

/** Controllers run in microtasks. */
const settle = () => new Promise(resolve => setImmediate(resolve));

function createBoardWithVersion(): Board {
    const board = createBoard(settings, start);
    board
        .claimValue("configuration")
        .update(state => ({ ...state, held: { manifest: { version } } as never }));
    return board;
}

Given("a starting daemon that has read a head row and has its version in force", function (this: World) {
    const board = createBoardWithVersion();
    const clock = board.claimValue("clock");
    board.claimValue("platformState").update(state => ({
        ...state,
        ...{ head, headRead: true, headReadAt: start, headAskedAt: start, reachable: true },
    }));
    const readiness = createReadiness(board);
    this.starting = { board, readiness, setClock: now => clock.write({ now, pausedForMs: 0 }) };
});

Given("a ready daemon that waits for an answer of the platform", async function (this: World) {
    const board = createBoardWithVersion();
    const clock = board.claimValue("clock");
    let now = start;
    this.advance = async (ms, { pausedForMs = 0, isTick = true } = {}) => {
        now += ms;
        if (isTick) {
            clock.write({ now, pausedForMs });
        }
        await settle();
    };
    this.reads = board.claimFeed("headReads");
    createPlatformClient(
        board,
        () => ({
            send: () => new Promise(resolve => (this.answer = resolve)),
            close: () => Promise.resolve(),
        }),
        { now: () => now },
    );
    const readiness = createReadiness(board);
    this.starting = { board, readiness, setClock: () => undefined };
    board.claimValue("domainAddresses").write(new Map([["a", ["127.0.0.1:2"]]]));
    await readHead(this);
    this.answer({ answer: PlatformAnswer.Row, row: head, tag: "t1" });
    await this.advance(1_000);
    assert.equal(board.read("readiness").state, "ready");
    await readHead(this);
});

async function readHead({ reads }: World): Promise<void> {
    const request = { operation: PlatformOperation.ReadRow, key: headKey } as const;
    reads.append({ id: "head", request });
    await settle();
}

When(
    "it is paused for {int} ms and reads the answer {int} ms later",
    async function (this: World, pausedForMs: number, ms: number) {
        await this.advance(pausedForMs + 100, { pausedForMs });
        // The turn takes that long before the answer is read, and no tick comes in between.
        await this.advance(ms, { isTick: false });
        this.answer({ answer: PlatformAnswer.Unchanged });
        await this.advance(100);
    },
);

When("it reads the head row again and is answered after {int} ms", async function (this: World, ms: number) {
    await readHead(this);
    await this.advance(ms, { isTick: false });
    this.answer({ answer: PlatformAnswer.Unchanged });
    await this.advance(100);
});

When(
    /^it has (not read|read) the domain rows, which list no other host, and (\d+) ms pass$/,
    async function (this: World, read: string, ms: string) {
        const { board, setClock } = this.starting;
        if (read === "read") {
            board.claimValue("domainAddresses").write(new Map([["a", ["127.0.0.1:2"]]]));
        }
        setClock(start + Number(ms));
        await settle();
    },
);

Then("the daemon is {string}", function (this: World, state: string) {
    const { state: found, reason } = this.starting.board.read("readiness");
    assert.equal(found, state, reason);
});
