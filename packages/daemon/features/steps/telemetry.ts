import { Then, When } from "@cucumber/cucumber";
import type { Span } from "@tanagertray/core";
import { createBoard, createLog, createTraces, resolveSettings, type Board } from "@tanagertray/daemon";
import { createTrafficCounter } from "@tanagertray/daemon/adapters/peers/traffic";
import { startFreezableRelay } from "@tanagertray/standin";
import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Writable } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import { send, tokens, waitFor, type World } from "./adminWorld.js";
import { validSettings } from "./validSettings.js";

/** Time after which the first export has begun, in milliseconds. */
const exportStartMs = 1_500;

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
        const eventFeed = this.board.claimFeed("callEvents");
        const spanFeed = this.board.claimFeed("spans");
        for (let index = 0; index < events; index += 1) {
            eventFeed.append({ name: "test.event", level: "info", fields: {} });
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

When("the links carried a digest of {int} bytes to another region", function (this: World, bytes: number) {
    const traffic = createTrafficCounter();
    traffic.countSent("digest", true, bytes);
    this.board.claimValue("peerTraffic").write(traffic.total());
});

Then("every line of the metrics parses", function (this: World) {
    const samplePattern = /^[a-z_]+(\{([a-z_]+="([^"\\\n]|\\.)*",?)+\})? -?[0-9.e+-]+$/;
    const commentPattern = /^# (HELP [a-z_]+ .+|TYPE [a-z_]+ (counter|gauge|summary))$/;
    const lines = this.text.trimEnd().split("\n");
    assert.ok(lines.length > 20);
    assert.deepEqual(
        lines.filter(line => !samplePattern.test(line) && !commentPattern.test(line)),
        [],
    );
});

Then(/^the metrics hold '(.*)'$/, function (this: World, line: string) {
    assert.ok(this.text.split("\n").includes(line), this.text);
});

When(
    "a log follows the board while operators and clients without a valid token send {int} requests",
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

Then("no log line contains a token and each line is JSON with an event", function (this: World) {
    assert.ok(this.lines.length > 10);
    for (const line of this.lines) {
        const { event, level, time } = JSON.parse(line) as Record<string, string>;
        assert.ok(event !== undefined && level !== undefined && time !== undefined);
        assert.ok(!tokens.some(token => line.includes(token)), line);
    }
});

Then("the log omitted repeated events and reports how many", function (this: World) {
    const entries = this.lines.map(
        line => JSON.parse(line) as { event: string; omitted?: number; omittedEvent?: string },
    );
    const unauthorized = entries.filter(entry => entry.event === "operator.unauthorized");
    assert.equal(unauthorized.length, 10);
    const summary = entries.find(entry => entry.omittedEvent === "operator.unauthorized");
    assert.equal(summary?.event, "log.omitted");
    assert.equal(summary?.omitted, 10);
});

/** Creates a board whose spans are exported to the collector; `onDropped` gets the number of spans of each loss. */
function createExportBoard(collector: string, onDropped: (spans: number) => void): Board {
    const settings = validSettings();
    settings.traces = { exporter: "otlp", url: `${collector}/v1/traces` };
    const board = createBoard(resolveSettings(settings), 0);
    board.follow("traceEvents", ({ name, fields }) =>
        onDropped(name === "trace.dropped" ? Number(fields["spans"]) : 0),
    );
    return board;
}

function appendSpans(board: Board, count: number): void {
    const spans = board.claimFeed("spans");
    for (let index = 0; index < count; index += 1) {
        spans.append(makeSpan(index));
    }
}

When(
    "{int} spans are exported to a collector that answers with status {int}",
    async function (this: World, count: number, status: number) {
        const world = Object.assign(this, { exported: 0, dropped: 0 });
        const server = createServer(async (request, response) => {
            const chunks: Buffer[] = [];
            for await (const chunk of request as AsyncIterable<Buffer>) {
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
        const board = createExportBoard(`http://127.0.0.1:${port}`, spans => (world.dropped += spans));
        const traces = createTraces(board);
        appendSpans(board, count);
        await waitFor(() => (status === 200 ? world.exported === count : world.dropped === count));
        await traces.close();
        server.close();
        server.closeAllConnections();
    },
);

When(
    "{int} spans are exported to a collector that accepts no connections, and the exporter is closed",
    { timeout: 30_000 },
    async function (this: World, count: number) {
        const world = Object.assign(this, { dropped: 0, closedAfterMs: 0 });
        // Nothing is forwarded before the relay is stopped.
        const relay = await startFreezableRelay("127.0.0.1:1");
        await relay.freeze();
        const board = createExportBoard(`http://${relay.address}`, () => undefined);
        board.follow("traceEvents", ({ name }) => {
            world.dropped += name === "trace.exportFailed" ? count : 0;
        });
        const traces = createTraces(board);
        appendSpans(board, count);
        await sleep(exportStartMs);
        const startedAt = performance.now();
        await traces.close();
        world.closedAfterMs = performance.now() - startedAt;
        await relay.close();
    },
);

Then(
    "{int} spans are reported as lost within {int} s",
    function (this: World, count: number, seconds: number) {
        assert.equal(this.dropped, count);
        assert.ok(this.closedAfterMs <= seconds * 1_000, `${this.closedAfterMs} ms`);
    },
);

Then("the collector received {int} spans", function (this: World, count: number) {
    assert.equal(this.exported, count);
});

Then("{int} spans are reported as dropped", function (this: World, count: number) {
    assert.equal(this.dropped, count);
});
