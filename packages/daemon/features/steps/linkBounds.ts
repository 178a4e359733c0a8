import { After, Given, Then, When } from "@cucumber/cucumber";
import { MessageKind } from "@tanagertray/core";
import { encodeFrame } from "@tanagertray/daemon/adapters/peers/codec";
import { peerPath } from "@tanagertray/daemon/adapters/peers/constants";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { WebSocket } from "ws";
import { addressOf, runFor, startTestDaemon, type TestDaemon } from "./testDaemon.js";

interface World {
    linkDaemons: [TestDaemon];
    rawSocket: WebSocket;
    silentSeed?: Server;
    /** Connections to the seed, open or not. */
    dials: Socket[];
}

After(function (this: World) {
    this.silentSeed?.close();
    this.dials?.forEach(socket => socket.destroy());
});

Given(
    "a peer adapter {string} whose seed accepts connections and never answers",
    async function (this: World, host: string) {
        this.dials = [];
        const seed = createServer(socket => {
            socket.on("error", () => undefined);
            this.dials.push(socket);
        });
        this.silentSeed = seed;
        await new Promise<void>(resolve => seed.listen(0, "127.0.0.1", resolve));
        this.linkDaemons = [await startTestDaemon({ host, peers: [addressOf(seed as never)] })];
    },
);

When("the peer adapter has run for {int} ms", async function (this: World, ms: number) {
    await runFor(this.linkDaemons, ms);
});

Then(
    "the seed was dialed {int} to {int} times and the peer adapter reported the events {string}",
    function (this: World, least: number, most: number, names: string) {
        const { length } = this.dials;
        assert.ok(length >= least && length <= most, `dialed ${length} times`);
        assertReported(this, names);
    },
);

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
    assertReported(this, names);
});

function assertReported({ linkDaemons }: World, names: string): void {
    const eventNames = new Set(linkDaemons[0].events.map(({ name }) => name));
    names
        .split(", ")
        .forEach(name => assert.ok(eventNames.has(name), `${name} in ${[...eventNames].join()}`));
}
