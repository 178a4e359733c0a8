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
    hashOf,
    hostOf,
    reportedHash,
    resultOf,
    runsOf,
    type Answered,
    type World as CallWorld,
} from "./callWorld.js";

interface World extends CallWorld {
    uploads: { readonly callId: string; readonly hash: string; answer: Answer | undefined }[];
    /** When the concurrent calls were completed, and when the last part of an upload was sent. */
    othersServedAt: number;
    uploadSentAt: number;
    received: Answered;
    hopSockets: Set<Socket>;
}

/** Number of parts in which an upload is sent. */
const uploadParts = 8;

/** Starts a deployment and records the connections on which its last host receives calls from other daemons. */
async function openDeployment(world: World, options: DeploymentOptions): Promise<void> {
    world.deployment = await createDeployment(options);
    world.uploads = [];
    world.hopSockets = new Set();
    const { peer } = hostOf(world, world.deployment.hosts.length - 1);
    peer.on("connection", (socket: Socket) => world.hopSockets.add(socket));
}

Given(
    /^a call deployment with 1 slot whose calls run on (its own|another) host$/,
    function (this: World, where: string) {
        return openDeployment(this, { ...placements[where], slots: 1 } as DeploymentOptions);
    },
);

Given(
    "a call deployment with 1 slot whose calls run on its own host or else on another",
    function (this: World) {
        return openDeployment(this, { hosts: 2, slots: 1 });
    },
);

Given(
    /^a call deployment with 1 slot and links of ([\d.]+) Mbit\/s whose calls run on another host$/,
    function (this: World, linkMbps: string) {
        return openDeployment(this, {
            hosts: 2,
            slots: 1,
            entryLacksBackend: true,
            linkMbps: Number(linkMbps),
        });
    },
);

When(
    "{int} uploads of {int} bytes are sent over {int} ms, and meanwhile {int} uploads of {int} bytes at once",
    { timeout: 20_000 },
    async function (
        this: World,
        slowCount: number,
        bytes: number,
        sendMs: number,
        quickCount: number,
        quickBytes: number,
    ) {
        const slowUploads = Array.from({ length: slowCount }, () => upload(this, bytes, sendMs));
        await sleep((2 * sendMs) / uploadParts);
        await Promise.all(Array.from({ length: quickCount }, () => upload(this, quickBytes, 0)));
        this.othersServedAt = performance.now();
        await Promise.all(slowUploads);
    },
);

Then("the later uploads are completed before the slow ones have arrived", function (this: World) {
    assert.ok(this.othersServedAt < this.uploadSentAt, "the uploads waited for those of slow callers");
});

/** Sends an upload in parts at equal intervals. */
function upload(world: World, bytes: number, sendMs: number): Promise<void> {
    const content = randomBytes(bytes);
    const record: World["uploads"][number] = {
        callId: randomUUID(),
        hash: hashOf(content),
        answer: undefined,
    };
    world.uploads.push(record);
    return new Promise((resolve, reject) => {
        const request = send({
            host: "127.0.0.1",
            port: entryOf(world).calls.port,
            path: "/orders/x",
            method: "POST",
            agent: false,
            headers: {
                "tanagertray-caller": "crews",
                "tanagertray-call-id": record.callId,
                "content-length": String(bytes),
            },
        });
        request.once("error", reject);
        request.once("response", response => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.once("end", () => {
                const { statusCode: status = 0, headers } = response;
                record.answer = { status, headers, body: Buffer.concat(chunks), reset: false };
                resolve();
            });
        });
        void (async () => {
            for (let part = 0; part < uploadParts; part += 1) {
                await sleep(sendMs / uploadParts);
                world.uploadSentAt = performance.now();
                request.write(
                    content.subarray((part * bytes) / uploadParts, ((part + 1) * bytes) / uploadParts),
                );
            }
            request.end();
        })();
    });
}

When(
    "an upload of {int} bytes is sent over {int} ms, and meanwhile {int} reads one after the other",
    { timeout: 10_000 },
    async function (this: World, bytes: number, sendMs: number, readCount: number) {
        const uploaded = upload(this, bytes, sendMs);
        await sleep(sendMs / uploadParts);
        for (let index = 0; index < readCount; index += 1) {
            assert.equal(resultOf(await call(entryOf(this), { path: "/x" })), "completed");
        }
        this.othersServedAt = performance.now();
        await uploaded;
    },
);

Then("the reads are completed before the upload has arrived", function (this: World) {
    assert.ok(this.othersServedAt < this.uploadSentAt, "the reads waited for the upload");
});

function assertCompletedOnce(world: World): void {
    for (const { callId, hash, answer } of world.uploads) {
        assert.ok(answer !== undefined);
        assert.equal(answer.status, 200);
        assert.equal(reportedHash(answer), hash);
        assert.equal(runsOf(world, callId).length, 1);
    }
}

Then("the upload is completed unchanged and ran once", function (this: World) {
    assertCompletedOnce(this);
});

When(
    "{int} upload(s) of {int} bytes is/are sent at once",
    { timeout: 10_000 },
    async function (this: World, count: number, bytes: number) {
        await Promise.all(Array.from({ length: count }, () => upload(this, bytes, 0)));
    },
);

Then("the uploads are completed unchanged and ran once", function (this: World) {
    assertCompletedOnce(this);
});

When(
    "the backend server of the other host drains, and an upload of {int} bytes is sent",
    async function (this: World, bytes: number) {
        hostOf(this, 1).setServer({ state: "draining", drainingSince: Date.now() });
        this.received = await call(entryOf(this), { method: "POST", path: "/x", body: randomBytes(bytes) });
    },
);

When(
    "the backend servers of both hosts drain while an upload of {int} bytes is sent over {int} ms",
    async function (this: World, bytes: number, sendMs: number) {
        const uploaded = upload(this, bytes, sendMs);
        await sleep(sendMs / 2);
        this.deployment.hosts.forEach(host =>
            host.setServer({ state: "draining", drainingSince: Date.now() }),
        );
        await uploaded;
        this.received = this.uploads[0]?.answer as Answered;
    },
);

Then(
    "the upload is refused as not run, and the other host received at most {int} bytes for it",
    function (this: World, maxBytes: number) {
        assert.equal(resultOf(this.received), "not-run");
        const bytes = [...this.hopSockets].reduce((sum, socket) => sum + socket.bytesRead, 0);
        assert.ok(bytes <= maxBytes, `${bytes} bytes`);
    },
);
