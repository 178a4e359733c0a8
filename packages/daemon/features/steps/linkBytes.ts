import { Then, When } from "@cucumber/cucumber";
import { MessageKind, type PartsMessage } from "@tanagertray/core";
import { encodeFrame } from "@tanagertray/daemon/adapters/peers/codec";
import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import type { LinkRelay } from "./linkRelay.js";
import { runUntil, type TestDaemon } from "./testDaemon.js";

interface World {
    linkDaemons: TestDaemon[];
    relay: LinkRelay;
    sent: PartsMessage;
    receivedParts?: PartsMessage | undefined;
    forwardedBytes: number;
}

When(
    "{string} sends {int} routes to {string}",
    async function (this: World, from: string, count: number, to: string) {
        const [sender, receiver] = [from, to].map(host =>
            this.linkDaemons.find(entry => entry.host === host),
        );
        this.sent = createRoutes(count);
        receiver?.board.follow("peerInbox", ({ message }) => {
            this.receivedParts ??= message.kind === MessageKind.Parts ? message : undefined;
        });
        const before = this.relay.forwardedBytes();
        const outbox = sender?.board.claimFeed("configurationOutbox");
        outbox?.append({ to: { host: to }, message: this.sent });
        await runUntil(this.linkDaemons, 3_000, () => this.receivedParts !== undefined);
        this.forwardedBytes = this.relay.forwardedBytes() - before;
    },
);

/** Creates routes like those of a generated configuration, which differ only in their names, host names and hashes. */
function createRoutes(count: number): PartsMessage {
    const parts = Array.from({ length: count }, (_, at) => {
        const name = createHash("sha256").update(String(at)).digest("hex");
        const route = {
            ...{ kind: "pathRoute", name: `r-${name.slice(0, 7)}`, hostName: `${name.slice(7, 12)}.example` },
            ...{ prefix: `/${name.slice(12, 19)}/`, repetition: "safe", maxAttempts: 2, timeoutMs: 1_200 },
            ...{ latencyObjectiveMs: 400, priority: 2, destinations: [{ service: "service/s1", weight: 1 }] },
        };
        const bytes = new Uint8Array(Buffer.from(JSON.stringify(route)));
        return { hash: createHash("sha256").update(bytes).digest("hex"), bytes };
    });
    return { kind: MessageKind.Parts, parts, missing: [] };
}

Then(
    "{string} receives them unchanged, and the link carried at most a third of their bytes",
    function (this: World, _to: string) {
        assert.deepEqual(this.receivedParts, this.sent);
        const size = encodeFrame(this.sent).length;
        assert.ok(this.forwardedBytes <= size / 3, `${this.forwardedBytes} of ${size} bytes`);
    },
);
