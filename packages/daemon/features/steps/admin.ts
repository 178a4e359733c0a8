import { After, Given, Then, When } from "@cucumber/cucumber";
import { generateConfiguration, resolveAnswers, type Resource, type Span } from "@tanagertray/core";
import {
    createAdmin,
    createBoard,
    createLog,
    createTraces,
    resolveSettings,
    type Board,
    type Closeable,
    type RevisionCommand,
} from "@tanagertray/daemon";
import { Right } from "purify-ts/Either";
import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Writable } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { freePort } from "./freePort.js";
import { validSettings } from "./validSettings.js";

interface World {
    board: Board;
    port: number;
    closeables: Closeable[];
    commands: RevisionCommand[];
    status: number;
    text: string;
    lines: string[];
    exported: number;
    dropped: number;
}

const tokens = ["operator-token-0001", "operator-token-0002", "backend-token-0001", "wrong-token-00001"];

function heldVersion() {
    const operations = [{ name: "read", method: "GET", path: "/ponds/*", repeatable: true }];
    const answers = {
        deployment: "demo",
        services: { board: { slots: 1, connections: 1, operations } },
        callers: { crews: { mayCall: ["board"] } },
    };
    const { manifest, parts } = generateConfiguration(resolveAnswers(answers), { version: 7 });
    const resources = new Map(
        Object.entries(manifest.entries).map(([name, { hash }]) => [
            name,
            JSON.parse(Buffer.from(parts.get(hash) as Uint8Array).toString("utf8")) as Resource,
        ]),
    );
    return { manifest, manifestHash: "hash", resources, parts };
}

Given("an admin listener on a board with one held version", async function (this: World) {
    this.port = await freePort();
    const settings = resolveSettings(validSettings({ calls: 1, peer: 2, admin: this.port }));
    this.board = createBoard(settings, 0);
    this.board.claimValue("configuration").write({ held: heldVersion() });
    this.board.claimValue("readiness").write({ state: "ready", reason: "test", floor: 0, since: 0 });
    const server = {
        id: "s1",
        service: "board",
        address: "127.0.0.1:9",
        incarnation: 1,
        counter: 1,
    } as const;
    this.board
        .claimValue("backendServers")
        .write(new Map([["s1", { ...server, state: "serving", announcedAt: 0, firstSeenAt: 0 }]]));
    this.commands = [];
    const replies = this.board.claimFeed("revisionReplies");
    this.board.follow("revisionCommands", command => {
        this.commands.push(command);
        replies.append({ id: command.id, outcome: Right([]) });
    });
    this.closeables = [await createAdmin(this.board)];
});

After(async function (this: World) {
    for (const closeable of this.closeables ?? []) {
        await closeable.close();
    }
});

async function send(world: World, line: string, token: string, body?: string): Promise<void> {
    const [method = "GET", path = "/"] = line.split(" ");
    const response = await request(`http://127.0.0.1:${world.port}${path}`, {
        method: method as "GET",
        headers: { authorization: `Bearer ${token}`, "content-type": "application/json" },
        ...(body === undefined ? {} : { body }),
        reset: true,
    });
    world.status = response.statusCode;
    world.text = await response.body.text();
}

When(
    /^the admin path "([^"]*)" is requested with the token "([^"]*)"$/,
    function (this: World, line: string, token: string) {
        return send(this, line, token);
    },
);

When(
    /^the admin path "([^"]*)" is requested with the token "([^"]*)" and the body '(.*)'$/,
    function (this: World, line: string, token: string, body: string) {
        return send(this, line, token, body);
    },
);

When("answers of {int} bytes are submitted to the admin listener", function (this: World, size: number) {
    return send(this, "POST /v1/revisions", "operator-token-0001", " ".repeat(size));
});

When(/^the answers '(.*)' are submitted to the admin listener$/, function (this: World, text: string) {
    const body = JSON.stringify({ answers: text, operator: "dana" });
    return send(this, "POST /v1/revisions", "operator-token-0001", body);
});

Then(
    "the admin response has status {int} and code {string}",
    function (this: World, status: number, code: string) {
        assert.equal(this.status, status, this.text);
        const body = JSON.parse(this.text) as Record<string, unknown>;
        assert.equal(body["code"] ?? "", code);
        if (code !== "") {
            assert.equal(body["status"], status);
            assert.ok(typeof body["message"] === "string" && typeof body["nextStep"] === "string");
        }
    },
);

Then("the admin response lists {int} mistakes", function (this: World, count: number) {
    const { mistakes } = JSON.parse(this.text) as { mistakes: unknown[] };
    assert.equal(mistakes.length, count, this.text);
});

Then("the revision controller received {int} commands", function (this: World, count: number) {
    assert.equal(this.commands.length, count);
});

Then(
    /^the explanation says carried (true|false) and stops at "([^"]*)" with "(.*)"$/,
    function (this: World, carried: string, step: string, detail: string) {
        const explanation = JSON.parse(this.text) as {
            carried: boolean;
            findings: { step: string; holds: boolean; detail: string }[];
        };
        assert.equal(explanation.carried, carried === "true", this.text);
        const first = explanation.findings.find(finding => !finding.holds);
        assert.equal(first?.step ?? "", step);
        assert.ok((first?.detail ?? "").includes(detail), this.text);
    },
);

function makeSpan(durationMs: number): Span {
    return {
        traceId: "0".repeat(31) + "1",
        spanId: "0".repeat(15) + "1",
        name: "call",
        startedAt: 1_700_000_000_000,
        durationMs,
        failed: false,
        attributes: { service: "board", attempts: 1, repeated: false },
    };
}

When(
    "{int} events and {int} spans are appended to the board",
    async function (this: World, events: number, spans: number) {
        const feed = this.board.claimFeed("callEvents");
        const spanFeed = this.board.claimFeed("spans");
        for (let index = 0; index < events; index += 1) {
            feed.append({ name: "test.event", level: "info", fields: {} });
        }
        for (let index = 0; index < spans; index += 1) {
            spanFeed.append(makeSpan(index));
        }
        await waitFor(async () => {
            await send(this, "GET /metrics", "");
            return this.text.includes("tanagertray_span_duration_seconds_count");
        });
    },
);

/** Polls until the condition holds; the scenario fails after 3 s. */
async function waitFor(condition: () => Promise<boolean> | boolean): Promise<void> {
    for (let attempt = 0; attempt < 150; attempt += 1) {
        if (await condition()) {
            return;
        }
        await sleep(20);
    }
    assert.fail("the condition did not hold within 3 s");
}

Then("every line of the metrics parses", function (this: World) {
    const sample = /^[a-z_]+(\{([a-z_]+="([^"\\\n]|\\.)*",?)+\})? -?[0-9.e+-]+$/;
    const comment = /^# (HELP [a-z_]+ .+|TYPE [a-z_]+ (counter|gauge|summary))$/;
    const lines = this.text.trimEnd().split("\n");
    assert.ok(lines.length > 20);
    assert.deepEqual(
        lines.filter(line => !sample.test(line) && !comment.test(line)),
        [],
    );
});

Then(/^the metrics hold '(.*)'$/, function (this: World, line: string) {
    assert.ok(this.text.split("\n").includes(line), this.text);
});

When(
    "a log follows the board while strangers and operators send {int} requests",
    async function (this: World, count: number) {
        this.lines = [];
        const lines = this.lines;
        const output = new Writable({
            write(chunk: Buffer, _encoding, next) {
                lines.push(chunk.toString("utf8").trimEnd());
                next();
            },
        });
        const log = createLog(this.board, { output });
        for (let index = 0; index < count; index += 1) {
            await send(
                this,
                "GET /v1/status?token=wrong-token-00001",
                tokens[index % tokens.length] as string,
            );
        }
        await log.close();
    },
);

Then("no log line holds a token and each line is JSON with an event", function (this: World) {
    assert.ok(this.lines.length > 10);
    for (const line of this.lines) {
        const { event, level, time } = JSON.parse(line) as Record<string, string>;
        assert.ok(event !== undefined && level !== undefined && time !== undefined);
        assert.ok(!tokens.some(token => line.includes(token)), line);
    }
});

Then("the log omitted repeated events and says how many", function (this: World) {
    const entries = this.lines.map(
        line => JSON.parse(line) as { event: string; omitted?: number; omittedEvent?: string },
    );
    const unauthorized = entries.filter(entry => entry.event === "operator.unauthorized");
    assert.equal(unauthorized.length, 10);
    const summary = entries.find(entry => entry.omittedEvent === "operator.unauthorized");
    assert.equal(summary?.event, "log.omitted");
    assert.equal(summary?.omitted, 10);
});

When(
    "{int} spans are exported to a collector that answers with status {int}",
    async function (this: World, count: number, status: number) {
        const world = Object.assign(this, { exported: 0, dropped: 0 });
        const server = createServer(async (incoming, response) => {
            const chunks: Buffer[] = [];
            for await (const chunk of incoming as AsyncIterable<Buffer>) {
                chunks.push(chunk);
            }
            const body = JSON.parse(Buffer.concat(chunks).toString("utf8")) as {
                resourceSpans: { scopeSpans: { spans: unknown[] }[] }[];
            };
            world.exported += body.resourceSpans[0]?.scopeSpans[0]?.spans.length ?? 0;
            response.writeHead(status).end();
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as AddressInfo;
        const settings = validSettings();
        settings.traces = { exporter: "otlp", url: `http://127.0.0.1:${port}/v1/traces` };
        const board = createBoard(resolveSettings(settings), 0);
        board.follow("traceEvents", ({ name, fields }) => {
            world.dropped += name === "trace.dropped" ? Number(fields["spans"]) : 0;
        });
        const traces = createTraces(board);
        const feed = board.claimFeed("spans");
        for (let index = 0; index < count; index += 1) {
            feed.append(makeSpan(index));
        }
        await waitFor(() => (status === 200 ? world.exported === count : world.dropped === count));
        await traces.close();
        server.close();
        server.closeAllConnections();
    },
);

Then("the collector received {int} spans", function (this: World, count: number) {
    assert.equal(this.exported, count);
});

Then("{int} spans are reported as dropped", function (this: World, count: number) {
    assert.equal(this.dropped, count);
});
