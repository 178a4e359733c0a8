import { After, Given, Then, When } from "@cucumber/cucumber";
import { headKey, PlatformAnswer, PlatformOperation, type PlatformReply } from "@tanagertray/core";
import { createBoard, resolveSettings, type Board, type Closeable } from "@tanagertray/daemon";
import { createHttpTransport } from "@tanagertray/daemon/adapters/platform/httpTransport";
import { createPlatformClient } from "@tanagertray/daemon/adapters/platform/platformClient";
import assert from "node:assert/strict";
import { createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { waitFor } from "./adminWorld.js";

interface World {
    answeringPlatform?: Server;
    answeringClient?: Closeable;
    answeringBoard: Board;
    reply: PlatformReply | undefined;
    /** Bytes of answers without end. */
    platformWrote: number;
}

After(function (this: Partial<World>) {
    void this.answeringClient?.close();
    this.answeringBoard?.close();
    this.answeringPlatform?.close();
});

async function open(world: World, answer: (socket: Socket) => void): Promise<void> {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", () => answer(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    world.answeringPlatform = server;
    world.platformWrote = 0;
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    const listen = { calls: "127.0.0.1:1", peer: "127.0.0.1:1", admin: "127.0.0.1:1" };
    const keys = { operator: [], backendServer: [], peer: ["key"] };
    const place = { host: "a1", failureDomain: "a", region: "r1", peers: [] };
    world.answeringBoard = createBoard(resolveSettings({ ...place, listen, platform: { url }, keys }), 1);
}

Given(/^a platform whose head row reads '(.*)'$/, async function (this: World, text: string) {
    await open(this, socket => {
        socket.write(`HTTP/1.1 200 OK\r\netag: 1\r\ncontent-length: ${text.length}\r\n\r\n${text}`);
    });
});

Given("a platform whose answers have no end", async function (this: World) {
    const part = Buffer.alloc(65_536, "a");
    await open(this, socket => {
        const writeOn = () => {
            while (!socket.destroyed) {
                this.platformWrote += part.length;
                if (!socket.write(part)) {
                    return;
                }
            }
        };
        socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{"version":2,"note":"');
        socket.on("drain", writeOn);
        writeOn();
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

Then("the read is lost and confirms nothing", function (this: World) {
    assert.equal(this.reply?.result.answer, PlatformAnswer.Lost);
    const { head, headRead, headReadAt } = this.answeringBoard.read("platformState");
    assert.deepEqual([head, headRead, headReadAt], [undefined, false, undefined]);
});

Then("the platform wrote at most {int} MB", function (this: World, most: number) {
    const megabytes = this.platformWrote / 1_000_000;
    assert.ok(megabytes <= most, `it wrote ${megabytes} MB`);
});
