import { After, Given, Then, When } from "@cucumber/cucumber";
import { NewConnections, startRelay, type Relay } from "@tanagertray/standin";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

interface World {
    relay?: Relay;
    relayTarget?: Server;
    relayedConnection: Connection;
    relayedConnections: Connection[];
    sentAt: number;
    /** Number of connections that were closed without a reset. */
    cleanEnds: number;
}

interface Connection {
    readonly socket: Socket;
    received: string;
    error?: Error & { code?: string };
}

function connectThroughRelay(world: World): Connection {
    const port = Number((world.relay as Relay).address.split(":")[1]);
    const connection: Connection = { socket: connect(port, "127.0.0.1"), received: "" };
    connection.socket.on("data", chunk => {
        connection.received += String(chunk);
    });
    connection.socket.on("error", error => {
        connection.error = error;
    });
    world.relayedConnections.push(connection);
    return connection;
}

async function expectEcho(connection: Connection, text: string): Promise<void> {
    const deadline = AbortSignal.timeout(2_000);
    while (!connection.received.endsWith(text)) {
        await once(connection.socket, "data", { signal: deadline });
    }
}

async function expectReset(connection: Connection): Promise<void> {
    if (!connection.socket.closed) {
        await once(connection.socket, "close", { signal: AbortSignal.timeout(2_000) }).catch(() => undefined);
    }
    assert.equal(connection.error?.code, "ECONNRESET");
}

After(async function (this: World) {
    this.relayedConnections?.forEach(({ socket }) => socket.destroy());
    await this.relay?.close();
    this.relayTarget?.close();
});

Given("a relay stand-in in front of an echo server with an open connection", async function (this: World) {
    this.relayedConnections = [];
    this.relayTarget = createServer(socket => {
        socket.on("error", () => socket.destroy());
        socket.pipe(socket);
    });
    this.relayTarget.listen(0, "127.0.0.1");
    await once(this.relayTarget, "listening");
    this.relay = await startRelay({
        target: `127.0.0.1:${(this.relayTarget.address() as AddressInfo).port}`,
    });
    this.relayedConnection = connectThroughRelay(this);
    this.relayedConnection.socket.write("first");
    await expectEcho(this.relayedConnection, "first");
});

When("the relay stand-in silences its open connections", function (this: World) {
    this.relay?.silence();
});

When("the relay stand-in silences new connections too", function (this: World) {
    this.relay?.silence({ newConnections: NewConnections.Silent });
});

When("the relay stand-in cuts", function (this: World) {
    this.relay?.cut();
});

Then(
    "the open relayed connection receives nothing within {int} ms and stays open",
    async function (this: World, ms: number) {
        this.relayedConnection.socket.write("second");
        await sleep(ms);
        assert.deepEqual(
            [this.relayedConnection.received, this.relayedConnection.socket.closed],
            ["first", false],
        );
    },
);

Then("a new relayed connection receives its echo", async function (this: World) {
    const connection = connectThroughRelay(this);
    connection.socket.write("new");
    await expectEcho(connection, "new");
});

Then(
    "the silenced connection receives its echo after the relay stand-in is restored",
    async function (this: World) {
        this.relay?.restore();
        await expectEcho(this.relayedConnection, "second");
    },
);

Then(
    "a new relayed connection opens and receives nothing within {int} ms",
    async function (this: World, ms: number) {
        const connection = connectThroughRelay(this);
        connection.socket.write("new");
        await once(connection.socket, "connect");
        await sleep(ms);
        assert.deepEqual([connection.received, connection.socket.closed], ["", false]);
    },
);

Then("the open relayed connection is reset", async function (this: World) {
    await expectReset(this.relayedConnection);
});

Then("a new relayed connection is reset", async function (this: World) {
    await expectReset(connectThroughRelay(this));
});

Then(
    "a new relayed connection receives its echo after the relay stand-in is restored",
    async function (this: World) {
        this.relay?.restore();
        const connection = connectThroughRelay(this);
        connection.socket.write("new");
        await expectEcho(connection, "new");
    },
);

When(
    "the relay stand-in delays bytes by {int} ms and the connection sends {int} numbered chunks",
    async function (this: World, ms: number, chunks: number) {
        this.relay?.delay(ms);
        this.sentAt = Date.now();
        for (let i = 1; i <= chunks; i += 1) {
            this.relayedConnection.socket.write(`<${i}>`);
            await sleep(5);
        }
    },
);

Then(
    "the echo of the 3 numbered chunks arrives in order after at least {int} ms",
    async function (this: World, ms: number) {
        await expectEcho(this.relayedConnection, "<3>");
        assert.equal(this.relayedConnection.received, "first<1><2><3>");
        // Node timers may fire up to 1 ms early, here once in each direction.
        assert.ok(Date.now() - this.sentAt >= ms - 2);
    },
);

Then("the relay stand-in counted the bytes of both directions", function (this: World) {
    const bytes = "first<1><2><3>".length;
    const { bytesToTarget, bytesFromTarget, openConnections } = (this.relay as Relay).counters();
    assert.deepEqual([bytesToTarget, bytesFromTarget, openConnections], [bytes, bytes, 1]);
});

Given(
    "a relay stand-in in front of a server that resets each connection {int} ms after {int} bytes",
    async function (this: World, ms: number, bytes: number) {
        this.relayedConnections = [];
        this.relayTarget = createServer(socket => {
            socket.on("error", () => socket.destroy());
            socket.write(Buffer.alloc(bytes));
            setTimeout(() => socket.resetAndDestroy(), ms);
        });
        this.relayTarget.listen(0, "127.0.0.1");
        await once(this.relayTarget, "listening");
        this.relay = await startRelay({
            target: `127.0.0.1:${(this.relayTarget.address() as AddressInfo).port}`,
        });
    },
);

When(
    "{int} connections through the relay stand-in read what they get",
    { timeout: 30_000 },
    async function (this: World, count: number) {
        this.cleanEnds = 0;
        for (let index = 0; index < count; index += 1) {
            const { socket } = connectThroughRelay(this);
            socket.once("end", () => (this.cleanEnds += socket.remoteAddress === undefined ? 0 : 1));
            await new Promise(resolve => socket.once("close", resolve));
        }
    },
);

Then("each of these connections was reset", function (this: World) {
    assert.equal(this.cleanEnds, 0);
});
