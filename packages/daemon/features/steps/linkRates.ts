import { Then, When } from "@cucumber/cucumber";
import { MessageKind, type PeerMessage } from "@tanagertray/core";
import assert from "node:assert/strict";
import { createHash, randomBytes } from "node:crypto";
import type { LinkRelay } from "./linkRelay.js";
import { runFor, type TestDaemon } from "./testDaemon.js";

interface World {
    linkDaemons: TestDaemon[];
    relay: LinkRelay;
    /** Bytes that the link carries in each direction in one step of the clock. */
    bytesPerStep: number;
    openedAt: readonly number[];
    sentHash: string;
    /** Hashes of the parts that arrived. */
    receivedHashes: string[];
}

const stepMs = 100;

const linksOf = ({ linkDaemons }: World) =>
    linkDaemons.map(({ board }) => [...board.read("peerLinks").values()][0]?.openedAt ?? 0);

async function runMetered(world: World, limitMs: number, condition: () => boolean): Promise<void> {
    for (let elapsed = 0; elapsed < limitMs && !condition(); elapsed += stepMs) {
        await runFor(world.linkDaemons, stepMs);
        world.relay.release(world.bytesPerStep);
    }
    assert.ok(condition(), `condition not met within ${limitMs} ms of simulated time`);
}

When(
    "the peer link between them carries {int} KB each 100 ms from now on",
    function (this: World, kilobytes: number) {
        this.bytesPerStep = kilobytes * 1_000;
        this.openedAt = linksOf(this);
        this.relay.meter();
    },
);

When(
    "{string} sends a part of {int} KB to {string}",
    function (this: World, from: string, kilobytes: number, to: string) {
        const [sender, receiver] = [from, to].map(host =>
            this.linkDaemons.find(entry => entry.host === host),
        );
        const bytes = new Uint8Array(randomBytes(kilobytes * 1_000));
        const hash = createHash("sha256").update(bytes).digest("hex");
        this.sentHash = hash;
        this.receivedHashes = [];
        receiver?.board.follow("peerInbox", ({ message }: { message: PeerMessage }) => {
            if (message.kind === MessageKind.Parts) {
                this.receivedHashes.push(...message.parts.map(part => part.hash));
            }
        });
        const message = { kind: MessageKind.Parts, parts: [{ hash, bytes }], missing: [] };
        sender?.board.claimFeed("configurationOutbox").append({ to: { host: to }, message });
    },
);

Then(
    "{string} has received it within {int} s over the same link",
    async function (this: World, _to: string, seconds: number) {
        await runMetered(this, seconds * 1_000, () => this.receivedHashes.includes(this.sentHash));
        assert.deepEqual(linksOf(this), this.openedAt);
    },
);

When("the peer link between them carries nothing any more", function (this: World) {
    this.bytesPerStep = 0;
});

Then("the link is closed after {int} s", async function (this: World, seconds: number) {
    await runMetered(this, (seconds + 1) * 1_000, () =>
        this.linkDaemons.some(({ events }) => events.some(({ name }) => name === "peer.silent")),
    );
});
