import { After, Given, Then, When } from "@cucumber/cucumber";
import { NewConnections, startRelay, type Relay } from "@tanagertray/standin";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

interface World {
    relay?: Relay;
    echo?: Server;
    open: Connection;
    opened: Connection[];
    sentAt: number;
    /** Connections that ended without a reset. */
    cleanEnds: number;
}

interface Connection {
    readonly socket: Socket;
    received: string;
    error?: Error & { code?: string };
}

function openThrough(world: World): Connection {
    const port = Number((world.relay as Relay).address.split(":")[1]);
    const connection: Connection = { socket: connect(port, "127.0.0.1"), received: "" };
    connection.socket.on("data", chunk => {
        connection.received += String(chunk);
    });
    connection.socket.on("error", error => {
        connection.error = error;
    });
    world.opened.push(connection);
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
    this.opened?.forEach(({ socket }) => socket.destroy());
    await this.relay?.close();
    this.echo?.close();
});

Given("a relay stand-in in front of an echo server with an open connection", async function (this: World) {
    this.opened = [];
    this.echo = createServer(socket => {
        socket.on("error", () => socket.destroy());
        socket.pipe(socket);
    });
    this.echo.listen(0, "127.0.0.1");
    await once(this.echo, "listening");
    this.relay = await startRelay({ target: `127.0.0.1:${(this.echo.address() as AddressInfo).port}` });
    this.open = openThrough(this);
    this.open.socket.write("first");
    await expectEcho(this.open, "first");
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
        this.open.socket.write("second");
        await sleep(ms);
        assert.deepEqual([this.open.received, this.open.socket.closed], ["first", false]);
    },
);

Then("a new relayed connection receives its echo", async function (this: World) {
    const connection = openThrough(this);
    connection.socket.write("new");
    await expectEcho(connection, "new");
});

Then(
    "the silenced connection receives its echo after the relay stand-in is restored",
    async function (this: World) {
        this.relay?.restore();
        await expectEcho(this.open, "second");
    },
);

Then(
    "a new relayed connection opens and receives nothing within {int} ms",
    async function (this: World, ms: number) {
        const connection = openThrough(this);
        connection.socket.write("new");
        await once(connection.socket, "connect");
        await sleep(ms);
        assert.deepEqual([connection.received, connection.socket.closed], ["", false]);
    },
);

Then("the open relayed connection is reset", async function (this: World) {
    await expectReset(this.open);
});

Then("a new relayed connection is reset", async function (this: World) {
    await expectReset(openThrough(this));
});

Then(
    "a new relayed connection receives its echo after the relay stand-in is restored",
    async function (this: World) {
        this.relay?.restore();
        const connection = openThrough(this);
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
            this.open.socket.write(`<${i}>`);
            await sleep(5);
        }
    },
);

Then(
    "the echo of the 3 numbered chunks arrives in order after at least {int} ms",
    async function (this: World, ms: number) {
        await expectEcho(this.open, "<3>");
        assert.equal(this.open.received, "first<1><2><3>");
        // Timers of Node may fire up to 1 ms early.
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
        this.opened = [];
        this.echo = createServer(socket => {
            socket.on("error", () => socket.destroy());
            socket.write(Buffer.alloc(bytes));
            setTimeout(() => socket.resetAndDestroy(), ms);
        });
        this.echo.listen(0, "127.0.0.1");
        await once(this.echo, "listening");
        this.relay = await startRelay({ target: `127.0.0.1:${(this.echo.address() as AddressInfo).port}` });
    },
);

When(
    "{int} connections through the relay stand-in read what they get",
    { timeout: 30_000 },
    async function (this: World, count: number) {
        this.cleanEnds = 0;
        for (let at = 0; at < count; at += 1) {
            const { socket } = openThrough(this);
            socket.once("end", () => (this.cleanEnds += socket.remoteAddress === undefined ? 0 : 1));
            await new Promise(resolve => socket.once("close", resolve));
        }
    },
);

Then("each of these connections was reset", function (this: World) {
    assert.equal(this.cleanEnds, 0);
});
