import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { randomBytes, randomUUID } from "node:crypto";
import { request as send } from "node:http";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { call, type Answer } from "./callClient.js";
import { createDeployment, placements, type DeploymentOptions } from "./callFixture.js";
import {
    entryOf,
    reportedHash,
    hashOf,
    hostOf,
    resultOf,
    runsOf,
    type Answered,
    type World as CallWorld,
} from "./callWorld.js";

interface World extends CallWorld {
    uploads: { readonly callId: string; readonly hash: string; answer: Answer | undefined }[];
    /** When the calls beside the slow upload were served, and when the last byte of that upload was sent. */
    othersServedAt: number;
    uploadSentAt: number;
    received: Answered;
    hopSockets: Set<Socket>;
}

/** Parts in which a slow upload arrives. */
const parts = 8;

/** Opens a deployment and follows the connections at which its last host gets calls of others. */
async function open(world: World, options: DeploymentOptions): Promise<void> {
    world.deployment = await createDeployment(options);
    world.uploads = [];
    world.hopSockets = new Set();
    const { peer } = hostOf(world, world.deployment.hosts.length - 1);
    peer.on("connection", (socket: Socket) => world.hopSockets.add(socket));
}

Given(
    /^a call deployment with 1 slot whose calls run on (its own|another) host$/,
    function (this: World, where: string) {
        return open(this, { ...placements[where], slots: 1 } as DeploymentOptions);
    },
);

Given("a call deployment with 1 slot whose calls run on its own host before another", function (this: World) {
    return open(this, { hosts: 2, slots: 1 });
});

Given(
    /^a call deployment with 1 slot and links of ([\d.]+) Mbit\/s whose calls run on another host$/,
    function (this: World, linkMbps: string) {
        return open(this, { hosts: 2, slots: 1, entryLacksBackend: true, linkMbps: Number(linkMbps) });
    },
);

When(
    "{int} uploads of {int} bytes arrive over {int} ms, and {int} uploads of {int} bytes come meanwhile",
    { timeout: 20_000 },
    async function (this: World, slow: number, bytes: number, ms: number, quick: number, quickBytes: number) {
        const slowOnes = Array.from({ length: slow }, () => upload(this, bytes, ms));
        await sleep((2 * ms) / parts);
        await Promise.all(Array.from({ length: quick }, () => upload(this, quickBytes, 0)));
        this.othersServedAt = performance.now();
        await Promise.all(slowOnes);
    },
);

Then("the later uploads are served before the slow ones have arrived", function (this: World) {
    assert.ok(this.othersServedAt < this.uploadSentAt, "the uploads waited for slow callers");
});

/** Sends an upload in parts that are spread over a time. */
function upload(world: World, bytes: number, overMs: number): Promise<void> {
    const content = randomBytes(bytes);
    const sent: World["uploads"][number] = {
        callId: randomUUID(),
        hash: hashOf(content),
        answer: undefined,
    };
    world.uploads.push(sent);
    return new Promise((resolve, reject) => {
        const request = send({
            host: "127.0.0.1",
            port: entryOf(world).calls.port,
            path: "/orders/x",
            method: "POST",
            agent: false,
            headers: {
                "tanagertray-caller": "crews",
                "tanagertray-call-id": sent.callId,
                "content-length": String(bytes),
            },
        });
        request.once("error", reject);
        request.once("response", response => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.once("end", () => {
                const { statusCode: status = 0, headers } = response;
                sent.answer = { status, headers, body: Buffer.concat(chunks), reset: false };
                resolve();
            });
        });
        void (async () => {
            for (let part = 0; part < parts; part += 1) {
                await sleep(overMs / parts);
                world.uploadSentAt = performance.now();
                request.write(content.subarray((part * bytes) / parts, ((part + 1) * bytes) / parts));
            }
            request.end();
        })();
    });
}

When(
    "an upload of {int} bytes arrives over {int} ms, and {int} reads come one after the other meanwhile",
    { timeout: 10_000 },
    async function (this: World, bytes: number, ms: number, reads: number) {
        const done = upload(this, bytes, ms);
        await sleep(ms / parts);
        for (let at = 0; at < reads; at += 1) {
            assert.equal(resultOf(await call(entryOf(this), { path: "/x" })), "completed");
        }
        this.othersServedAt = performance.now();
        await done;
    },
);

Then("the reads are served before the upload has arrived", function (this: World) {
    assert.ok(this.othersServedAt < this.uploadSentAt, "the reads waited for the upload");
});

function assertServed(world: World): void {
    for (const { callId, hash, answer } of world.uploads) {
        assert.ok(answer !== undefined);
        assert.equal(answer.status, 200);
        assert.equal(reportedHash(answer), hash);
        assert.equal(runsOf(world, callId).length, 1);
    }
}

Then("the upload is served whole and ran once", function (this: World) {
    assertServed(this);
});

When(
    "{int} uploads of {int} bytes come at once",
    { timeout: 10_000 },
    async function (this: World, count: number, bytes: number) {
        await Promise.all(Array.from({ length: count }, () => upload(this, bytes, 0)));
    },
);

Then("the uploads are served whole and ran once", function (this: World) {
    assertServed(this);
});

When(
    "the other host has no backend server any more, and an upload of {int} bytes comes",
    async function (this: World, bytes: number) {
        hostOf(this, 1).setServer({ state: "draining", drainingSince: Date.now() });
        this.received = await call(entryOf(this), { method: "POST", path: "/x", body: randomBytes(bytes) });
    },
);

When(
    "the backend servers of both hosts go while an upload of {int} bytes arrives over {int} ms",
    async function (this: World, bytes: number, ms: number) {
        const done = upload(this, bytes, ms);
        await sleep(ms / 2);
        this.deployment.hosts.forEach(host =>
            host.setServer({ state: "draining", drainingSince: Date.now() }),
        );
        await done;
        this.received = this.uploads[0]?.answer as Answered;
    },
);

Then(
    "the upload is refused as not run, and the other host received at most {int} bytes for it",
    function (this: World, most: number) {
        assert.equal(resultOf(this.received), "not-run");
        const bytes = [...this.hopSockets].reduce((sum, socket) => sum + socket.bytesRead, 0);
        assert.ok(bytes <= most, `${bytes} bytes`);
    },
);
