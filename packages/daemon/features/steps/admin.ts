import { After, Given, Then, When } from "@cucumber/cucumber";
import { generateConfiguration, resolveAnswers, type ReadinessState, type Resource } from "@tanagertray/core";
import { createAdminListener, createBoard, resolveSettings } from "@tanagertray/daemon";
import { createRouting } from "@tanagertray/daemon/controllers/routing";
import { Right } from "purify-ts/Either";
import assert from "node:assert/strict";
import { request as startRequest } from "node:http";
import { Readable } from "node:stream";
import { request } from "undici";
import { send, waitFor, type World } from "./adminWorld.js";
import { freePort } from "./freePort.js";
import { validSettings } from "./validSettings.js";

function createHeldConfiguration() {
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

Given("an admin listener on a board with configuration version 7", async function (this: World) {
    this.port = await freePort();
    const settings = resolveSettings(validSettings({ calls: 1, peer: 2, admin: this.port }));
    this.board = createBoard(settings, 0);
    this.board.claimValue("configuration").write({ held: createHeldConfiguration() });
    const readiness = this.board.claimValue("readiness");
    this.setReadiness = state => readiness.write({ state, reason: "test", floor: 0, since: 0 });
    this.setReadiness("ready");
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
    this.closeables = [createRouting(this.board), await createAdminListener(this.board)];
});

After(async function (this: World) {
    this.unfinishedRequests?.forEach(request => request.destroy());
    for (const closeable of this.closeables ?? []) {
        await closeable.close();
    }
});

When(
    /^the admin path "([^"]*)" is requested with the token "([^"]*)"$/,
    function (this: World, requestLine: string, token: string) {
        return send(this, requestLine, token);
    },
);

When(
    /^the admin path "([^"]*)" is requested with the token "([^"]*)" and the body '(.*)'$/,
    function (this: World, requestLine: string, token: string, body: string) {
        return send(this, requestLine, token, body);
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
    /^the explanation has carried (true|false) and the first failed step "([^"]*)" with "(.*)"$/,
    function (this: World, carried: string, step: string, detail: string) {
        const explanation = JSON.parse(this.text) as {
            carried: boolean;
            findings: { step: string; holds: boolean; detail: string }[];
        };
        assert.equal(explanation.carried, carried === "true", this.text);
        const failedFinding = explanation.findings.find(finding => !finding.holds);
        assert.equal(failedFinding?.step ?? "", step);
        assert.ok((failedFinding?.detail ?? "").includes(detail), this.text);
    },
);

When(
    "{int} requests with unfinished bodies are open at the admin listener",
    async function (this: World, count: number) {
        const headers = { authorization: "Bearer operator-token-0001" };
        this.unfinishedRequests = Array.from({ length: count }, () => {
            const options = {
                host: "127.0.0.1",
                port: this.port,
                path: "/v1/drain",
                method: "POST",
                headers,
            };
            const request = startRequest(options).on("error", () => undefined);
            request.write("{");
            return request;
        });
        await waitFor(async () => {
            await send(this, "GET /v1/status", "operator-token-0001");
            return this.status === 429;
        });
    },
);

When(
    /^the raw answers '(.*)' are submitted by "([^"]*)"$/,
    async function (this: World, body: string, operator: string) {
        const response = await request(`http://127.0.0.1:${this.port}/v1/revisions`, {
            method: "POST",
            headers: {
                authorization: "Bearer operator-token-0001",
                "content-type": "application/jsonc",
                "tanagertray-operator": operator,
            },
            body,
            reset: true,
        });
        this.status = response.statusCode;
        this.text = await response.body.text();
    },
);

Then(
    "the revision controller received a command of the operator {string}",
    function (this: World, name: string) {
        assert.deepEqual(
            this.commands.map(command => command.operator),
            [name],
        );
    },
);

When(
    "a chunked body of {int} bytes is sent to the admin path {string}",
    async function (this: World, size: number, requestLine: string) {
        const [method = "", path = ""] = requestLine.split(" ");
        const response = await request(`http://127.0.0.1:${this.port}${path}`, {
            method: method as "POST",
            headers: { authorization: "Bearer operator-token-0001" },
            body: Readable.from([Buffer.alloc(size / 2, " "), Buffer.alloc(size / 2, " ")]),
            reset: true,
        });
        this.status = response.statusCode;
        this.text = await response.body.text();
    },
);

When("the readiness becomes {string}", function (this: World, state: ReadinessState) {
    this.setReadiness(state);
});
