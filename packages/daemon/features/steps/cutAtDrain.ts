import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { connect, createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { entryOf, eventually, hostOf, type World as CallWorld } from "./callWorld.js";

interface World extends CallWorld {
    stalledServer?: { readonly server: Server; readonly sockets: Set<Socket> };
    /** How the client's connection ended: its error code, or "end". */
    clientEnd: string | undefined;
}

After(function (this: World) {
    this.stalledServer?.sockets.forEach(socket => socket.destroy());
    this.stalledServer?.server.close();
});

Given("its backend server sends one chunk and stalls", async function (this: World) {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("data", chunk => {
            const [id = ""] = /tanagertray-call-id: \S+/.exec(chunk.toString("latin1")) ?? [];
            socket.write(`HTTP/1.1 200 OK\r\n${id}\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n`);
        });
    });
    this.stalledServer = { server, sockets };
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    hostOf(this, 0).setServer({ address: `127.0.0.1:${(server.address() as AddressInfo).port}` });
    await sleep(50);
});

When("a client without chunked encoding has received it and the daemon stops", async function (this: World) {
    let received = "";
    const socket = connect(entryOf(this).calls.port, "127.0.0.1");
    socket.on("data", chunk => (received += chunk.toString()));
    socket.on("error", (error: NodeJS.ErrnoException) => (this.clientEnd ??= error.code));
    socket.on("end", () => (this.clientEnd ??= "end"));
    const lines = ["host: a", "tanagertray-caller: crews", "tanagertray-call-id: old", "content-length: 0"];
    socket.write(`POST /orders/x HTTP/1.0\r\n${lines.join("\r\n")}\r\n\r\n`);
    assert.ok(await eventually(1_000, () => received.endsWith("hello")));
    await entryOf(this).calls.close();
    await eventually(1_000, () => this.clientEnd !== undefined);
});

Then("its connection is reset", function (this: World) {
    assert.equal(this.clientEnd, "ECONNRESET");
});
