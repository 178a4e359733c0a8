import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { randomUUID } from "node:crypto";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { entryOf, runsOf, type World as CallWorld } from "./callWorld.js";

interface World extends CallWorld {
    /** Data that the caller received, and whether its connection was closed. */
    conversation: { text: string; isOver: boolean };
}

/** Header that frames the request, by the kind of bytes that follow it. */
const framingHeaders: Readonly<Record<string, string>> = {
    garbage: "content-length: 0",
    "an oversized head": "content-length: 0",
    "a broken chunk": "transfer-encoding: chunked",
};
/** Bytes that are sent with the head. The call runs once its body has begun to arrive. */
const bodyStart: Readonly<Record<string, string>> = { "a broken chunk": "5\r\nhello\r\n" };
const unreadable: Readonly<Record<string, string>> = {
    garbage: "no request\r\n\r\n",
    "an oversized head": `GET / HTTP/1.1\r\nx-note: ${"n".repeat(20_000)}\r\n\r\n`,
    "a broken chunk": "zz\r\n",
};
/** Time for a call to reach its backend server, in milliseconds. */
const arrivalMs = 100;
/** Longer than the response time of the slow backend server, in milliseconds. */
const conversationMs = 1_000;

/** Sends a call, then unreadable bytes after the call has arrived or was answered. */
async function sendCallAndBytes(world: World, path: string, bytes: string): Promise<void> {
    world.callId = randomUUID();
    const conversation = { text: "", isOver: false };
    world.conversation = conversation;
    const socket = connect(entryOf(world).calls.port, "127.0.0.1");
    socket.on("data", chunk => (conversation.text += chunk.toString()));
    socket.on("error", () => undefined);
    socket.on("close", () => (conversation.isOver = true));
    const lines = ["host: a", "tanagertray-caller: crews", `tanagertray-call-id: ${world.callId}`];
    const head = [`POST /orders${path} HTTP/1.1`, ...lines, framingHeaders[bytes]].join("\r\n");
    socket.write(`${head}\r\n\r\n${bodyStart[bytes] ?? ""}`);
    await sleep(arrivalMs);
    socket.write(unreadable[bytes] ?? "");
    await sleep(conversationMs);
    socket.removeAllListeners("close");
    socket.destroy();
}

When(
    /^a call in progress is followed by (garbage|an oversized head|a broken chunk)$/,
    async function (this: World, bytes: string) {
        await sendCallAndBytes(this, "/slow", bytes);
    },
);

When("a call that was answered is followed by garbage", async function (this: World) {
    await sendCallAndBytes(this, "/echo", "garbage");
});

Then("the call was run once, and its connection ends without an answer", function (this: World) {
    assert.equal(runsOf(this, this.callId).length, 1);
    assert.deepEqual(this.conversation, { text: "", isOver: true });
});

Then("the call got its answer, and the garbage 400", function (this: World) {
    const statuses = [...this.conversation.text.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(([, status]) => status);
    assert.deepEqual(statuses, ["200", "400"]);
    assert.ok(this.conversation.isOver);
});
