import { Then, When } from "@cucumber/cucumber";
import { MessageKind } from "@tanagertray/core";
import { encodeFrame } from "@tanagertray/daemon/adapters/peers/codec";
import { peerPath } from "@tanagertray/daemon/adapters/peers/constants";
import assert from "node:assert/strict";
import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { WebSocket } from "ws";
import { runFor, type TestDaemon } from "./testDaemon.js";

interface World {
    linkDaemons: [TestDaemon];
    rawSocket: WebSocket;
}

When(
    "{int} connections to the peer adapter send no hello for {int} ms",
    async function (this: World, count: number, ms: number) {
        const [daemon] = this.linkDaemons;
        const sockets = Array.from(
            { length: count },
            () => new WebSocket(`ws://${daemon.address}${peerPath}`),
        );
        sockets.forEach(socket => socket.on("error", () => undefined));
        await sleep(300);
        for (let elapsed = 0; elapsed < ms; elapsed += 100) {
            // Keeps the raw connection from being closed by the heartbeat timeout.
            this.rawSocket.send(encodeFrame({ kind: MessageKind.Heartbeat, version: 0, manifestHash: "" }));
            await runFor([daemon], 100);
        }
        sockets.forEach(socket => socket.terminate());
    },
);

When("the raw connection sends a message of {int} MiB", async function (this: World, size: number) {
    this.rawSocket.send(Buffer.alloc(size * 1_024 * 1_024));
    await once(this.rawSocket, "close");
});

Then("the peer adapter reported the events {string}", function (this: World, names: string) {
    const eventNames = new Set(this.linkDaemons[0].events.map(({ name }) => name));
    names
        .split(", ")
        .forEach(name => assert.ok(eventNames.has(name), `${name} in ${[...eventNames].join()}`));
});
