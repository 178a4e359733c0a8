import { Given, Then, When } from "@cucumber/cucumber";
import { createBoard, resolveSettings, type Board } from "@tanagertray/daemon";
import { createReadiness } from "@tanagertray/daemon/controllers/readiness";
import type { Closeable } from "@tanagertray/daemon";
import assert from "node:assert/strict";

interface World {
    starting: {
        readonly board: Board;
        readonly readiness: Closeable;
        readonly setClock: (now: number) => void;
    };
}

const start = 1_000_000;
const version = 3;

Given("a starting daemon that has read a head row and has its version in force", function (this: World) {
    const settings = resolveSettings({
        host: "a1",
        failureDomain: "a",
        region: "r",
        listen: { calls: "127.0.0.1:1", peer: "127.0.0.1:2", admin: "127.0.0.1:3" },
        platform: { url: "http://127.0.0.1:1" },
        trustedNetwork: true,
    });
    const board = createBoard(settings, start);
    const clock = board.claimValue("clock");
    const change = {
        version,
        revision: version,
        manifestHash: "h",
        operator: "o",
        writeId: "w",
        acceptedAt: 0,
    };
    const head = { ...change, token: 1, history: [change] };
    board
        .claimValue("configuration")
        .update(state => ({ ...state, held: { manifest: { version } } as never }));
    board
        .claimValue("platformState")
        .update(state => ({ ...state, head, headRead: true, headReadAt: start, reachable: true }));
    const readiness = createReadiness(board);
    this.starting = { board, readiness, setClock: now => clock.write({ now, pausedForMs: 0 }) };
});

When(
    /^it has (not read|read) the domain rows, which list no other host, and (\d+) ms pass$/,
    async function (this: World, read: string, ms: string) {
        const { board, setClock } = this.starting;
        if (read === "read") {
            board.claimValue("domainAddresses").write(new Map([["a", ["127.0.0.1:2"]]]));
        }
        setClock(start + Number(ms));
        // Controllers run in microtasks.
        await new Promise(resolve => setImmediate(resolve));
    },
);

Then("the daemon is {string}", function (this: World, state: string) {
    const { board, readiness } = this.starting;
    const { state: found, reason } = board.read("readiness");
    readiness.close();
    assert.equal(found, state, reason);
});
