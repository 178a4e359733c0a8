import { After, Given, Then, When } from "@cucumber/cucumber";
import { MessageKind, ProblemCode, type PeerMessage } from "@tanagertray/core";
import { encodeFrame } from "@tanagertray/daemon/adapters/peers/codec";
import { peerPath } from "@tanagertray/daemon/adapters/peers/constants";
import {
    createNonce,
    createProof,
    HandshakeKind,
    Role,
    verifyProof,
    type Challenge,
    type Identity,
    type Transcript,
} from "@tanagertray/daemon/adapters/peers/handshake";
import { unpack } from "msgpackr";
import assert from "node:assert/strict";
import { randomBytes } from "node:crypto";
import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { WebSocket } from "ws";
import { startRelay, type LinkRelay } from "./linkRelay.js";
import { sampleMessages } from "./sampleMessages.js";
import {
    addressOf,
    listenOnLoopback,
    runFor,
    runUntil,
    startTestDaemon,
    type TestDaemon,
} from "./testDaemon.js";

interface World {
    linkDaemons?: TestDaemon[];
    relay?: LinkRelay;
    rawSocket?: WebSocket;
    transcript: Transcript;
}

After(async function (this: World) {
    this.rawSocket?.terminate();
    this.relay?.close();
    await Promise.all((this.linkDaemons ?? []).map(daemon => daemon.close()));
});

function daemons(world: World): TestDaemon[] {
    return world.linkDaemons ?? [];
}

function isLinked({ board }: TestDaemon): boolean {
    return board.read("peerLinks").size === 1;
}

async function startPair(
    world: World,
    hosts: readonly [string, string],
    options: { keys?: readonly string[][]; regions?: readonly string[]; throughRelay?: boolean } = {},
): Promise<void> {
    const servers = [await listenOnLoopback(), await listenOnLoopback()] as const;
    const addresses = servers.map(addressOf);
    if (options.throughRelay === true) {
        world.relay = await startRelay(addresses[1] ?? "");
        addresses[1] = world.relay.address;
    }
    world.linkDaemons = await Promise.all(
        hosts.map((host, at) =>
            startTestDaemon({
                host,
                keys: options.keys?.[at] ?? ["key"],
                region: options.regions?.[at] ?? "r1",
                peers: [addresses[1 - at] ?? ""],
                server: servers[at] as never,
            }),
        ),
    );
}

Given(
    "linked daemons {string} and {string} that know each other's address",
    async function (this: World, a, b) {
        await startPair(this, [String(a), String(b)], { throughRelay: true });
    },
);

Given(
    "a peer adapter {string} with keys {string} and a peer adapter {string} with keys {string}",
    async function (this: World, a: string, keysA: string, b: string, keysB: string) {
        await startPair(this, [a, b], { keys: [keysA.split(","), keysB.split(",")] });
    },
);

Given(
    "a peer adapter {string} whose seeds list {string} under two addresses",
    async function (this: World, one: string, two: string) {
        const other = await startTestDaemon({ host: two });
        this.relay = await startRelay(other.address);
        const peers = [this.relay.address, this.relay.address.replace("127.0.0.1", "localhost")];
        this.linkDaemons = [await startTestDaemon({ host: one, peers }), other];
    },
);

Given(
    "daemons {string} and {string} of different regions that know each other's address",
    async function (this: World, a: string, b: string) {
        await startPair(this, [a, b], { regions: ["r1", "r2"] });
    },
);

When("both peer adapters have run until they are linked", async function (this: World) {
    await runUntil(daemons(this), 5_000, () => daemons(this).every(isLinked));
    // Leaves time for a duplicate connection, if there is one, to be closed.
    await runFor(daemons(this), 1_000);
});

When("the two peer adapters have run for {int} ms", async function (this: World, ms: number) {
    await runFor(daemons(this), ms);
});

Then(
    "each peer adapter has exactly one connection, dialed by {string}",
    async function (this: World, dialer: string) {
        for (const { host, board, server } of daemons(this)) {
            const accepted = await new Promise<number>(resolve =>
                server.getConnections((_error, count) => resolve(count)),
            );
            assert.equal(board.read("peerLinks").size, 1);
            assert.equal(accepted, host === dialer ? 0 : 1, `connections accepted by ${host}`);
        }
    },
);

Then(
    "no peer link is open and an {string} refusal is reported as an event",
    function (this: World, code: string) {
        daemons(this).forEach(({ board }) => assert.equal(board.read("peerLinks").size, 0));
        const refusals = daemons(this).flatMap(({ events }) =>
            events.filter(({ name }) => name === "peer.refused"),
        );
        assert.ok(refusals.length > 0);
        refusals.forEach(({ fields }) => assert.equal(fields["code"], code));
    },
);

Then("each peer adapter opened at most {int} links", function (this: World, maxLinks: number) {
    for (const { host, events } of daemons(this)) {
        const opened = events.filter(({ name }) => name === "peer.linked").length;
        assert.ok(opened >= 1 && opened <= maxLinks, `${host} opened ${opened} links`);
    }
});

const identity = (host: string): Identity => ({
    host,
    failureDomain: "a",
    region: "r1",
    address: "127.0.0.1:1",
});

Given("a handshake transcript of two hosts", function (this: World) {
    this.transcript = {
        dialer: identity("a1"),
        dialerNonce: "one",
        acceptor: identity("a2"),
        acceptorNonce: "two",
    };
});

Then("a proof of the transcript is valid only for its own role", function (this: World) {
    const proof = createProof(["key"], Role.Dialer, this.transcript);
    assert.ok(verifyProof(["other", "key"], Role.Dialer, this.transcript, proof).isRight());
    assert.ok(verifyProof(["key"], Role.Acceptor, this.transcript, proof).isLeft());
    assert.ok(verifyProof(["other"], Role.Dialer, this.transcript, proof).isLeft());
    assert.ok(verifyProof([], Role.Dialer, this.transcript, proof).isLeft());
    assert.ok(
        verifyProof(
            [""],
            Role.Dialer,
            this.transcript,
            createProof([], Role.Dialer, this.transcript),
        ).isLeft(),
    );
    assert.ok(verifyProof(["key"], Role.Dialer, this.transcript, "").isLeft());
});

Then("a change of any nonce or identity invalidates the proof", function (this: World) {
    const proof = createProof(["key"], Role.Dialer, this.transcript);
    const changes: Partial<Transcript>[] = [
        { dialerNonce: "x" },
        { acceptorNonce: "x" },
        { dialer: identity("a3") },
        { acceptor: identity("a3") },
        { dialer: { ...identity("a1"), region: "r2" } },
        { acceptor: { ...identity("a2"), address: "127.0.0.1:2" } },
    ];
    for (const change of changes) {
        assert.ok(verifyProof(["key"], Role.Dialer, { ...this.transcript, ...change }, proof).isLeft());
    }
});

When("the peer link between them stops carrying data while new connections work", function (this: World) {
    this.relay?.stopForwarding();
});

Then("the silent link is closed after 3 s and a new one is opened", async function (this: World) {
    const before = daemons(this).map(({ board }) => [...board.read("peerLinks").values()][0]?.openedAt ?? 0);
    await runFor(daemons(this), 2_500);
    daemons(this).forEach(daemon => assert.ok(isLinked(daemon), "link closed before the heartbeat timeout"));
    await runUntil(daemons(this), 3_000, () =>
        daemons(this).every(({ board }, at) => {
            const link = [...board.read("peerLinks").values()][0];
            return link !== undefined && link.openedAt > (before[at] ?? 0);
        }),
    );
    assert.ok(daemons(this).some(({ events }) => events.some(({ name }) => name === "peer.silent")));
});

Given(
    "a peer adapter {string} and a raw authenticated connection to it",
    async function (this: World, host: string) {
        const daemon = await startTestDaemon({ host });
        this.linkDaemons = [daemon];
        const rawSocket = new WebSocket(`ws://${daemon.address}${peerPath}`);
        this.rawSocket = rawSocket;
        rawSocket.on("error", () => undefined);
        await once(rawSocket, "open");
        const self = identity("z9");
        const nonce = createNonce();
        rawSocket.send(encodeFrame({ kind: HandshakeKind.Hello, identity: self, nonce }));
        const [frame] = (await once(rawSocket, "message")) as [Buffer];
        const challenge = unpack(frame) as Challenge;
        const transcript = {
            dialer: self,
            dialerNonce: nonce,
            acceptor: challenge.identity,
            acceptorNonce: challenge.nonce,
        };
        const proof = createProof(["key"], Role.Dialer, transcript);
        rawSocket.send(encodeFrame({ kind: HandshakeKind.Proof, proof }));
        await once(rawSocket, "message");
        assert.ok(isLinked(daemon));
    },
);

When("the raw connection sends {int} malformed messages", async function (this: World, count: number) {
    for (let i = 0; i < count; i += 1) {
        this.rawSocket?.send(encodeFrame({ kind: "gossip" }));
    }
    await sleep(50);
});

Then("the raw connection stays open", function (this: World) {
    assert.equal(this.rawSocket?.readyState, WebSocket.OPEN);
});

Then("the raw connection is closed", function (this: World) {
    assert.equal(this.rawSocket?.readyState, WebSocket.CLOSED);
    daemons(this).forEach(({ board }) => assert.equal(board.read("peerLinks").size, 0));
});

const mebibyte = 1_024 * 1_024;

When(
    "the raw connection stops reading while {int} MiB are sent to it",
    async function (this: World, count: number) {
        this.rawSocket?.pause();
        const outbox = daemons(this)[0]?.board.claimFeed("configurationOutbox");
        // Compressible bytes would fit into the buffers of the kernel.
        const parts = [{ hash: "abc", bytes: randomBytes(mebibyte) }];
        for (let i = 0; i < count; i += 1) {
            const message = { kind: MessageKind.Parts, parts, missing: [] };
            outbox?.append({ to: { allBut: [] }, message });
            await sleep(1);
        }
        await sleep(50);
    },
);

Then(
    "the peer adapter closed the slow link with at most {int} MiB sent",
    async function (this: World, maxMebibytes: number) {
        const [daemon] = daemons(this) as [TestDaemon];
        assert.equal(daemon.board.read("peerLinks").size, 0);
        assert.ok(daemon.events.some(({ fields }) => fields["code"] === ProblemCode.Overloaded));
        await runFor([daemon], 1_000);
        const sent = daemon.board.read("peerTraffic").sameRegion.get(MessageKind.Parts)?.bytesOut ?? 0;
        assert.ok(sent > 0 && sent <= maxMebibytes * mebibyte, `${sent} bytes sent`);
    },
);

When("{string} sends a digest to every peer", async function (this: World, host: string) {
    const daemon = daemons(this).find(entry => entry.host === host);
    daemon?.board
        .claimFeed("membershipOutbox")
        .append({ to: { allBut: [] }, message: sampleMessages.digest });
    await runFor(daemons(this), 1_500);
});

Then(
    "the digest bytes out of {string} equal those into {string}, as cross-region traffic",
    function (this: World, _sender: string, _receiver: string) {
        const [sender, receiver] = daemons(this) as [TestDaemon, TestDaemon];
        const bytes = encodeFrame(sampleMessages.digest).length;
        const out = sender.board.read("peerTraffic");
        const into = receiver.board.read("peerTraffic");
        assert.equal(out.crossRegion.get(MessageKind.Digest)?.bytesOut, bytes);
        assert.equal(into.crossRegion.get(MessageKind.Digest)?.bytesIn, bytes);
        assert.equal(out.sameRegion.size, 0);
    },
);

Given(
    "a peer adapter {string} that knows the address of {string} only from the membership",
    async function (this: World, one: string, two: string) {
        const other = await startTestDaemon({ host: two });
        const daemon = await startTestDaemon({ host: one });
        this.linkDaemons = [daemon, other];
        const { self } = other.board.read("membership");
        daemon.board
            .claimValue("membership")
            .update(before => ({ ...before, records: before.records.withChanges(new Map([[two, self]])) }));
        await runFor(this.linkDaemons, 1_000);
        assert.equal(daemon.board.read("peerLinks").size, 0);
    },
);

When(
    "the call adapter of {string} asks {string} for the fate of a call",
    function (this: World, _from: string, to: string) {
        const outbox = daemons(this)[0]?.board.claimFeed("callsOutbox");
        outbox?.append({ to: { host: to }, message: sampleMessages.fateRequest });
    },
);

Then(
    "{string} receives the fate request from {string}",
    async function (this: World, _to: string, from: string) {
        const received: { from: string; message: PeerMessage }[] = [];
        daemons(this)[1]?.board.follow("peerInbox", incoming => received.push(incoming));
        const isFate = ({ message }: { message: PeerMessage }) => message.kind === MessageKind.FateRequest;
        await runUntil(daemons(this), 2_000, () => received.some(isFate));
        const [request] = received.filter(isFate);
        assert.equal(request?.from, from);
        assert.deepEqual(request?.message, sampleMessages.fateRequest);
    },
);
