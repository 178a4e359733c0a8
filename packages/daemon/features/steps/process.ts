import { After, Given, Then, When } from "@cucumber/cucumber";
import { createBoard, resolveSettings, type Board } from "@tanagertray/daemon";
import { waitForCalls } from "@tanagertray/daemon/draining";
import assert from "node:assert/strict";
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { request, type ClientRequest, type IncomingMessage } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { freePort } from "./freePort.js";
import { validSettings } from "./validSettings.js";

interface World {
    folder: string;
    file: string;
    daemon: ChildProcess;
    output: string;
    exited: Promise<unknown[]>;
    inFlight: ClientRequest;
    response: Promise<IncomingMessage>;
    board: Board;
    drainMs: number;
    waitedMs: number;
    secondRun: { code: number | null; stderr: string };
}

const main = "packages/daemon/dist/main.js";

Given("a running tanagertrayd with a request in flight", async function (this: World) {
    this.folder = mkdtempSync(join(tmpdir(), "tanagertray-"));
    this.file = join(this.folder, "settings.jsonc");
    const ports = { calls: await freePort(), peer: await freePort(), admin: await freePort() };
    writeFileSync(this.file, JSON.stringify(validSettings(ports)));
    this.daemon = spawn(process.execPath, [main, "--settings", this.file], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    this.exited = once(this.daemon, "exit");
    this.output = "";
    this.daemon.stdout?.on("data", (chunk: Buffer) => (this.output += chunk.toString("utf8")));
    await waitForListener(ports.admin);
    const headers = { authorization: "Bearer operator-token-0001", "content-type": "application/json" };
    this.inFlight = request({
        port: ports.admin,
        host: "127.0.0.1",
        path: "/v1/drain",
        method: "POST",
        headers,
    });
    this.response = once(this.inFlight, "response").then(([response]) => response as IncomingMessage);
    // Scenarios that do not read the response close its connection when they end.
    this.response.catch(() => undefined);
    this.inFlight.write('{ "backendServer"');
    await sleep(100);
});

/** Tries to connect until the daemon listens; fails after 5 s. */
async function waitForListener(port: number): Promise<void> {
    for (let attempt = 0; attempt < 100; attempt += 1) {
        const listens = await fetch(`http://127.0.0.1:${port}/healthz`).then(
            () => true,
            () => false,
        );
        if (listens) {
            return;
        }
        await sleep(50);
    }
    assert.fail("tanagertrayd did not listen within 5 s");
}

After(async function (this: World) {
    if (this.daemon === undefined) {
        return;
    }
    this.inFlight.on("error", () => undefined).destroy();
    this.daemon.kill("SIGKILL");
    await this.exited;
    rmSync(this.folder, { recursive: true });
});

When("SIGTERM is sent to tanagertrayd twice", async function (this: World) {
    this.daemon.kill("SIGTERM");
    await sleep(150);
    this.daemon.kill("SIGTERM");
    await sleep(150);
});

Then("the request in flight gets a complete response", async function (this: World) {
    this.inFlight.end(': "s1" }');
    const response = await this.response;
    const chunks: Buffer[] = [];
    for await (const chunk of response as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    assert.equal(response.statusCode, 404);
    assert.equal(JSON.parse(Buffer.concat(chunks).toString("utf8")).where, "backendServer");
});

Then(
    "tanagertrayd exits with 0 and logged {string} and {string}",
    async function (this: World, first: string, last: string) {
        const [code] = await this.exited;
        assert.equal(code, 0);
        const events = this.output
            .trimEnd()
            .split("\n")
            .map(line => (JSON.parse(line) as { event: string }).event);
        assert.equal(events[0], first);
        assert.equal(events.at(-1), last);
    },
);

When("a second tanagertrayd starts with the same settings", async function (this: World) {
    await runUntilExit(this, [main, "--settings", this.file]);
});

When("a daemon process throws an uncaught exception", async function (this: World) {
    const ports = { calls: await freePort(), peer: await freePort(), admin: await freePort() };
    const settings = JSON.stringify(resolveSettings(validSettings(ports)));
    const script = `import { runDaemon } from "@tanagertray/daemon/runDaemon";
        await runDaemon(${settings});
        setTimeout(() => { throw new Error("on purpose"); });`;
    await runUntilExit(this, ["--input-type=module", "-e", script]);
});

async function runUntilExit(world: World, args: readonly string[]): Promise<void> {
    const second = spawn(process.execPath, args, { stdio: ["ignore", "ignore", "pipe"] });
    let stderr = "";
    second.stderr.on("data", (chunk: Buffer) => (stderr += chunk.toString("utf8")));
    const [code] = (await once(second, "close")) as [number | null];
    world.secondRun = { code, stderr };
}

Given("a blackboard with a service that drains within {int} ms", function (this: World, drainMs: number) {
    this.board = createBoard(resolveSettings(validSettings()), 0);
    const service = {
        kind: "service",
        name: "board",
        slots: 1,
        connections: 1,
        drainMs,
        coldStartMs: 0,
    } as const;
    const manifest = { version: 1, entries: {} };
    const resources = new Map([["service/board", service]]);
    const held = { manifest, manifestHash: "hash", resources, parts: new Map() };
    this.board.claimValue("configuration").write({ held });
    this.drainMs = drainMs;
});

When("the daemon waits for a call that never ends", async function (this: World) {
    const startedAt = performance.now();
    await waitForCalls(this.board, new Promise(() => undefined));
    this.waitedMs = performance.now() - startedAt;
});

Then(
    "the wait ended after the drain limit and a margin of {int} ms",
    function (this: World, marginMs: number) {
        // Timers may fire up to 1 ms early by this clock.
        assert.ok(this.waitedMs >= this.drainMs + marginMs - 1, `${this.waitedMs} ms`);
    },
);

Then(
    "the second tanagertrayd exits with 1 and one line with {string}",
    function (this: World, event: string) {
        assert.equal(this.secondRun.code, 1);
        const lines = this.secondRun.stderr.trimEnd().split("\n");
        assert.equal(lines.length, 1);
        assert.equal((JSON.parse(lines[0] as string) as { event: string }).event, event);
    },
);
