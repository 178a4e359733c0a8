import { Given, Then } from "@cucumber/cucumber";
import { createCancellation } from "@tanagertray/daemon/adapters/calls/cancellation";
import { createRequestBody, type RequestBody } from "@tanagertray/daemon/adapters/calls/requestBody";
import assert from "node:assert/strict";
import { randomBytes } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";

interface World {
    sentBody: Buffer;
    requestBody: RequestBody;
}

/** Time in which an attempt sends what it may send, in milliseconds. */
const sendMs = 100;

Given(
    "an upload of {int} bytes that was received and admitted on the entry host, and then refused by its backend server",
    async function (this: World, bytes: number) {
        this.sentBody = randomBytes(bytes);
        this.requestBody = createRequestBody(Readable.from([this.sentBody]) as IncomingMessage, {
            hasBody: true,
            declaredBytes: bytes,
            maxBytes: bytes,
            repeatable: true,
            nextPoll: () => Promise.resolve(),
        });
        await this.requestBody.readBuffered();
        const attempt = this.requestBody.open();
        await attempt.receiveAll(createCancellation());
        attempt.commit();
        attempt.close();
    },
);

Then(
    "its next attempt sends {int} bytes before it is admitted, and then the rest",
    async function (this: World, eagerBytes: number) {
        const attempt = this.requestBody.open();
        const chunks: Buffer[] = [];
        const sent = (async () => {
            for await (const chunk of attempt.payload as AsyncIterable<Buffer>) {
                chunks.push(chunk);
            }
        })();
        await sleep(sendMs);
        assert.equal(Buffer.concat(chunks).length, eagerBytes);
        attempt.commit();
        await sent;
        attempt.close();
        assert.ok(Buffer.concat(chunks).equals(this.sentBody));
    },
);
