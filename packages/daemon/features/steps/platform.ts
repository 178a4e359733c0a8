import { After, Given, Then, When } from "@cucumber/cucumber";
import { headKey, PlatformOperation } from "@tanagertray/core";
import { createBoard, resolveSettings, type Board, type Closeable } from "@tanagertray/daemon";
import { createHttpTransport } from "@tanagertray/daemon/adapters/platform/httpTransport";
import { createPlatformClient } from "@tanagertray/daemon/adapters/platform/platformClient";
import { startPlatform, type Platform } from "@tanagertray/standin";
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { waitFor } from "./adminWorld.js";

interface World {
    headPlatform?: Platform;
    headClient?: Closeable;
    headBoard: Board;
    readHead: () => Promise<void>;
    goodReadAt: number | undefined;
}

After(async function (this: World) {
    this.headClient?.close();
    this.headBoard?.close();
    await this.headPlatform?.close();
});

Given("a platform client that has read head row 2", async function (this: World) {
    const platform = await startPlatform();
    this.headPlatform = platform;
    const writeHead = (version: number, headers: Record<string, string>) =>
        fetch(`${platform.url}/v1/rows/${headKey}`, {
            method: "PUT",
            headers: { ...headers, connection: "close" },
            body: JSON.stringify({ version }),
        });
    const created = await writeHead(1, { "if-none-match": "*" });
    await writeHead(2, { "if-match": created.headers.get("etag") ?? "" });
    const listen = { calls: "127.0.0.1:1", peer: "127.0.0.1:1", admin: "127.0.0.1:1" };
    const keys = { operator: [], backendServer: [], peer: ["key"] };
    const location = { host: "a1", failureDomain: "a", region: "r1", peers: [] };
    this.headBoard = createBoard(
        resolveSettings({ ...location, listen, platform: { url: platform.url }, keys }),
        1,
    );
    const board = this.headBoard;
    const reads = board.claimFeed("headReads");
    this.headClient = createPlatformClient(board, createHttpTransport);
    let replies = 0;
    board.follow("platformReplies", () => (replies += 1));
    this.readHead = async () => {
        const before = replies;
        reads.append({ id: "head", request: { operation: PlatformOperation.ReadRow, key: headKey } });
        await waitFor(() => replies > before);
    };
    await this.readHead();
    assert.equal(board.read("platformState").head?.version, 2);
    this.goodReadAt = board.read("platformState").headReadAt;
});

When("the platform returns the previous head row", async function (this: World) {
    await fetch(`${this.headPlatform?.url}/control`, {
        method: "PUT",
        body: JSON.stringify({ staleWrites: 1 }),
        headers: { connection: "close" },
    });
    // Makes sure that the time of this read would differ from that of the first one.
    await sleep(5);
    await this.readHead();
});

Then(
    "the platform client counts {int} stale read, keeps head row {int} and the time of its last read that was not stale",
    function (this: World, stale: number, version: number) {
        const { head, headReadAt, staleReads } = this.headBoard.read("platformState");
        assert.deepEqual([staleReads, head?.version, headReadAt], [stale, version, this.goodReadAt]);
    },
);
