import { After, Given, Then, When } from "@cucumber/cucumber";
import { headKey, PlatformAnswer, PlatformOperation, type PlatformReply } from "@tanagertray/core";
import { createBoard, resolveSettings, type Board, type Closeable } from "@tanagertray/daemon";
import { createHttpTransport } from "@tanagertray/daemon/adapters/platform/httpTransport";
import { createPlatformClient } from "@tanagertray/daemon/adapters/platform/platformClient";
import { startFreezableRelay, type FreezableRelay } from "@tanagertray/standin";
import assert from "node:assert/strict";
import { createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { waitFor } from "./adminWorld.js";

interface World {
    answeringPlatform?: Server;
    droppingRelay?: FreezableRelay;
    answeringClient?: Closeable;
    answeringBoard: Board;
    reply: PlatformReply | undefined;
    /** Bytes written so far in endless responses. */
    bytesWritten: number;
}

After(async function (this: Partial<World>) {
    await this.answeringClient?.close();
    this.answeringBoard?.close();
    this.answeringPlatform?.close();
    await this.droppingRelay?.close();
});

async function openPlatform(world: World, respond: (socket: Socket) => void): Promise<void> {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", () => respond(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    world.answeringPlatform = server;
    world.bytesWritten = 0;
    createAnsweringBoard(world, `http://127.0.0.1:${(server.address() as AddressInfo).port}`);
}

function createAnsweringBoard(world: World, url: string): void {
    const listen = { calls: "127.0.0.1:1", peer: "127.0.0.1:1", admin: "127.0.0.1:1" };
    const keys = { operator: [], backendServer: [], peer: ["key"] };
    const location = { host: "a1", failureDomain: "a", region: "r1", peers: [] };
    world.answeringBoard = createBoard(resolveSettings({ ...location, listen, platform: { url }, keys }), 1);
}

Given("a platform behind a relay that drops new connections", async function (this: World) {
    // Nothing is forwarded before the relay is stopped.
    this.droppingRelay = await startFreezableRelay("127.0.0.1:1");
    await this.droppingRelay.freeze();
    createAnsweringBoard(this, `http://${this.droppingRelay.address}`);
});

Given(/^a platform whose head row reads '(.*)'$/, async function (this: World, text: string) {
    await openPlatform(this, socket => {
        socket.write(`HTTP/1.1 200 OK\r\netag: 1\r\ncontent-length: ${text.length}\r\n\r\n${text}`);
    });
});

Given("a platform whose responses never end", async function (this: World) {
    const chunk = Buffer.alloc(65_536, "a");
    await openPlatform(this, socket => {
        const writeChunks = () => {
            while (!socket.destroyed) {
                this.bytesWritten += chunk.length;
                if (!socket.write(chunk)) {
                    return;
                }
            }
        };
        socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{"version":2,"note":"');
        socket.on("drain", writeChunks);
        writeChunks();
    });
});

When("the head row is read", async function (this: World) {
    const board = this.answeringBoard;
    const reads = board.claimFeed("headReads");
    this.answeringClient = createPlatformClient(board, createHttpTransport);
    board.follow("platformReplies", reply => (this.reply = reply));
    reads.append({ id: "head", request: { operation: PlatformOperation.ReadRow, key: headKey } });
    await waitFor(() => this.reply !== undefined);
});

Then("the read counts as lost and no head row or read time is recorded", function (this: World) {
    assert.equal(this.reply?.result.answer, PlatformAnswer.Lost);
    const { head, headRead, headReadAt } = this.answeringBoard.read("platformState");
    assert.deepEqual([head, headRead, headReadAt], [undefined, false, undefined]);
});

Then("the platform wrote at most {int} MB", function (this: World, maxMegabytes: number) {
    const megabytes = this.bytesWritten / 1_000_000;
    assert.ok(megabytes <= maxMegabytes, `it wrote ${megabytes} MB`);
});
