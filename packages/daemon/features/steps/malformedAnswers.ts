import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { call } from "./callClient.js";
import { createDeployment } from "./callFixture.js";
import { entryOf, hostOf, resultOf, type World as CallWorld } from "./callWorld.js";

interface World extends CallWorld {
    malforming?: { readonly server: Server; readonly sockets: Set<Socket>; runs: number };
}

const body = "hello";
const chunked = "transfer-encoding: chunked";
const length = `content-length: ${body.length}`;
const wholeChunks = `${body.length}\r\n${body}\r\n0\r\n\r\n`;

/** Response head with a status line, the line with the call id, and other lines. */
const headOf = (id: string, lines: readonly string[], status = "HTTP/1.1 200 OK") =>
    `${[status, id, ...lines].join("\r\n")}\r\n\r\n`;

interface Text {
    readonly text: string;
    /** Whether the connection is closed after the text. */
    readonly ends?: boolean;
}

/** Response of the backend server by kind; the parameter is the header line with the call id. */
const answers: Readonly<Record<string, (id: string) => Text>> = {
    "a length and a transfer coding": id => ({ text: headOf(id, [length, chunked]) + wholeChunks }),
    "a transfer coding and a length": id => ({
        text: headOf(id, [chunked, "content-length: 2"]) + wholeChunks,
    }),
    "two lengths": id => ({ text: headOf(id, ["content-length: 2", length]) + body }),
    "the same length twice": id => ({ text: headOf(id, [length, length]) + body }),
    "a list of lengths": id => ({ text: headOf(id, ["content-length: 5, 5"]) + body }),
    "a negative length": id => ({ text: headOf(id, ["content-length: -5"]) + body }),
    "an empty length": id => ({ text: headOf(id, ["content-length: "]) + body, ends: true }),
    "a length beyond 64 bits": id => ({
        text: headOf(id, ["content-length: 18446744073709551621"]) + body,
    }),
    "bare line feeds": id => ({ text: `HTTP/1.1 200 OK\n${id}\n${length}\n\n${body}` }),
    "a folded header": id => ({ text: headOf(id, ["x-note: a\r\n b", length]) + body }),
    "a folded length": id => ({ text: headOf(id, [`${length}\r\n 0`]) + body }),
    "a NUL in a header": id => ({ text: headOf(id, ["x-note: a\0b", length]) + body }),
    "a carriage return in a header": id => ({ text: headOf(id, ["x-note: a\rb", length]) + body }),
    "a space before a colon": id => ({ text: headOf(id, [`content-length : ${body.length}`]) + body }),
    "another protocol": id => ({
        text: headOf(id, ["connection: upgrade", "upgrade: x"], "HTTP/1.1 101 Switching Protocols") + body,
    }),
    "a 100 Continue": id => ({ text: `HTTP/1.1 100 Continue\r\n\r\n${headOf(id, [length])}${body}` }),
    "a status below 100": id => ({ text: headOf(id, [length], "HTTP/1.1 099 Early") + body }),
    "a body after early hints": id => ({
        text: `HTTP/1.1 103 Early Hints\r\n${length}\r\n\r\n${body}${headOf(id, [length])}${body}`,
    }),
    "a truncated last chunk": id => ({
        text: headOf(id, ["connection: close", chunked]) + wholeChunks.slice(0, -2),
        ends: true,
    }),
    "no last chunk": id => ({
        text: headOf(id, ["connection: close", chunked]) + wholeChunks.slice(0, -5),
        ends: true,
    }),
    "a wrong chunk size": id => ({ text: headOf(id, [chunked]) + `4\r\n${body}\r\n0\r\n\r\n` }),
    "a body shorter than its length": id => ({
        text: headOf(id, ["connection: close", "content-length: 9"]) + body,
        ends: true,
    }),
    "an old version and a truncated body": id => ({
        text: headOf(id, ["content-length: 9"], "HTTP/1.0 200 OK") + body,
        ends: true,
    }),
    "blank lines before the head": id => ({ text: `\r\n\r\n${headOf(id, [length])}${body}` }),
    "early hints before the head": id => ({
        text: `HTTP/1.1 103 Early Hints\r\nx-note: a\r\n\r\n${headOf(id, [length])}${body}`,
    }),
    "a chunk extension": id => ({
        text: headOf(id, [chunked]) + `5;note=a\r\n${body}\r\n0\r\n\r\n`,
    }),
    "an old version and no length": id => ({ text: headOf(id, [], "HTTP/1.0 200 OK") + body, ends: true }),
};

/** Delay before the connection is closed, so that the response and the end are read separately, in milliseconds. */
const endsAfterMs = 10;

After(async function (this: World) {
    const { malforming } = this;
    if (malforming !== undefined) {
        const closed = new Promise<void>(resolve => malforming.server.close(() => resolve()));
        malforming.sockets.forEach(socket => socket.destroy());
        await closed;
    }
});

Given(
    /^a backend server on another host that responds with (.*)$/,
    async function (this: World, kind: string) {
        const answer = answers[kind];
        assert.ok(answer !== undefined, `"${kind}" is not known`);
        const sockets = new Set<Socket>();
        const server = createServer(socket => {
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("data", chunk => {
                const [id = ""] = /tanagertray-call-id: \S+/.exec(chunk.toString("latin1")) ?? [];
                const { text, ends = false } = answer(id);
                malforming.runs += 1;
                socket.write(Buffer.from(text, "latin1"));
                if (ends) {
                    setTimeout(() => socket.end(), endsAfterMs);
                }
            });
        });
        const malforming = { server, sockets, runs: 0 };
        this.malforming = malforming;
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        this.deployment = await createDeployment({ hosts: 2, slots: 8, entryLacksBackend: true });
        hostOf(this, 1).setServer({ address: `127.0.0.1:${(server.address() as AddressInfo).port}` });
        await sleep(50);
    },
);

When("a non-repeatable call gets that response", async function (this: World) {
    const headers = { "tanagertray-deadline-ms": "1500" };
    this.received = await call(entryOf(this), { method: "POST", path: "/x", headers });
});

Then("its caller gets no complete response, and the call ran once", function (this: World) {
    assert.ok(["unknown", "reset"].includes(resultOf(this.received)), resultOf(this.received));
    assert.equal(this.malforming?.runs, 1);
});

Then("its caller gets the complete response, and the call ran once", function (this: World) {
    assert.equal(resultOf(this.received), "completed");
    assert.equal(this.received.body.toString(), body);
    assert.equal(this.malforming?.runs, 1);
});
