import { Given, Then, When } from "@cucumber/cucumber";
import {
    advanceDistribution,
    appendSteps,
    canonicalBytes,
    contentHash,
    createDistribution,
    diffManifests,
    emptyUpdateLog,
    InputKind,
    manifestHashOf,
    MessageKind,
    type AcceptedVersion,
    type Distribution,
    type DistributionInput,
    type Effects,
    type Manifest,
    type Part,
    type PeerMessage,
    type Spread,
    type UpdateLog,
    type UpdateStep,
} from "@tanagertray/core";
import assert from "node:assert/strict";
import { runNetwork, type NetworkReport } from "../support/network.js";
import {
    createHostHolding,
    linksTo,
    makeDanglingVersion,
    makeVersion,
    partBytes,
    type Version,
} from "../support/versions.js";

/** The route, service, caller and partner of `s0`, and the resources that `s0` needs to call `s2`. */
const resourceCountOfS0 = 7;

interface World {
    spread: Spread;
    reports: NetworkReport[];
    host: Distribution;
    now: number;
    v1: Version;
    badVersion: Version;
    effects: Effects[];
    updateLog: UpdateLog;
    objects: ReadonlyMap<string, Uint8Array>;
    head: AcceptedVersion;
}

function feed(world: World, input: DistributionInput): Effects {
    const { state, effects } = advanceDistribution(world.host, input, { now: world.now, random: () => 0 });
    world.host = state;
    world.effects.push(effects);
    return effects;
}

function receive(world: World, from: string, message: PeerMessage): Effects {
    return feed(world, { kind: InputKind.Message, incoming: { from, receivedAt: world.now, message } });
}

function updateBetween(from: Version, to: Version, parts: readonly Part[] = to.parts): PeerMessage {
    const step: UpdateStep = {
        base: from.manifest.version,
        version: to.manifest.version,
        manifestHash: to.hash,
        delta: diffManifests(from.manifest, to.manifest),
    };
    return { kind: MessageKind.Update, steps: [step], parts };
}

Given("distributing hosts in 2 regions with {string} spread", function (this: World, spread: Spread) {
    this.spread = spread;
    this.reports = [];
});

When(
    "{int} versions are delivered to them in random order with losses, {int} times",
    function (this: World, versions: number, runs: number) {
        this.reports = runNetwork({ spread: this.spread, versions, runs, seed: 4_711 });
        assert.equal(this.reports.length, runs);
    },
);

Then("no distributing host went to a lower version or held a dangling reference", function (this: World) {
    assert.deepEqual(
        this.reports.flatMap(report => report.violations),
        [],
    );
});

Then("every distributing host ended with the newest version", function (this: World) {
    this.reports.forEach(report =>
        assert.deepEqual(new Set(report.versions), new Set([report.newest]), `run ${report.run}`),
    );
});

Given("a distributing host that holds version 1", function (this: World) {
    this.now = 1_000;
    this.effects = [];
    this.v1 = makeVersion(1);
    this.host = createHostHolding(this.v1, { services: ["s0"], outsideCallers: false });
    feed(this, { kind: InputKind.Links, links: linksTo(["a", "b"]) });
});

/** Version 2 with one resource of the host replaced by the given bytes. */
function replacePart(bytes: Uint8Array, references?: readonly string[]): Version {
    const two = makeVersion(2);
    const name = "route/s0";
    const entry = two.manifest.entries[name];
    assert.ok(entry !== undefined);
    const hash = contentHash(bytes);
    const changed = { ...entry, hash, references: references ?? entry.references };
    const manifest: Manifest = { version: 2, entries: { ...two.manifest.entries, [name]: changed } };
    return { manifest, hash: manifestHashOf(manifest), parts: [...two.parts, { hash, bytes }] };
}

const routeOfS0 = () => JSON.parse(Buffer.from(partBytes(makeVersion(2), "route/s0")).toString("utf8"));

const badVersions: Readonly<Record<string, () => Version>> = {
    "a wrong manifest hash": () => ({ ...makeVersion(2), hash: contentHash(Buffer.from("other")) }),
    "a dangling reference": () => replacePart(canonicalBytes(routeOfS0()), ["service/none"]),
    "an undeclared reference": () => replacePart(canonicalBytes({ ...routeOfS0(), service: "service/s1" })),
    "an unparsable part": () => replacePart(Buffer.from("{")),
    "a resource of wrong shape": () => replacePart(canonicalBytes({ ...routeOfS0(), operations: [{}] })),
    "a part of another name": () => replacePart(canonicalBytes({ ...routeOfS0(), name: "s1" })),
};

When("it receives version 2 with {string}", function (this: World, fault: string) {
    const bad = badVersions[fault];
    assert.ok(bad !== undefined);
    this.badVersion = bad();
    receive(this, "a", updateBetween(this.v1, this.badVersion));
});

Then("it still holds the complete version 1 and reports version 2 as rejected", function (this: World) {
    assert.equal(this.host.held?.manifest.version, 1);
    assert.equal(this.host.held?.manifestHash, this.v1.hash);
    assert.equal(this.host.held?.resources.size, resourceCountOfS0);
    assert.equal(this.host.rejected?.version, 2);
    const names = this.effects.flatMap(effects => effects.events.map(event => event.name));
    assert.ok(names.includes("configuration.rejected"));
});

Then("it applies the good version 3", function (this: World) {
    const three = makeVersion(3);
    const { manifest, hash, parts } = three;
    receive(this, "b", { kind: MessageKind.Snapshot, manifest, manifestHash: hash, parts });
    assert.equal(this.host.held?.manifest.version, 3);
    assert.equal(this.host.rejected, undefined);
});

When("it receives the step from version 2 to version 3", function (this: World) {
    receive(this, "b", updateBetween(makeVersion(2), makeVersion(3)));
});

Then("it sends the sender a pull that names version 1", function (this: World) {
    assert.equal(this.host.rejected, undefined);
    assert.equal(this.host.held?.manifest.version, 1);
    assert.deepEqual(this.effects.at(-1)?.messages, [
        { to: { host: "b" }, message: { kind: MessageKind.Pull, held: 1 } },
    ]);
});

const sentMessages = (world: World, kind: PeerMessage["kind"]) =>
    world.effects.flatMap(effects => effects.messages).filter(({ message }) => message.kind === kind);

When("it receives version 2 with corrupt parts that no neighbour holds", function (this: World) {
    const two = makeVersion(2);
    const corrupt = two.parts.map(part => ({ ...part, bytes: Buffer.from("corrupt") }));
    receive(this, "b", { kind: MessageKind.Announce, version: 2, manifestHash: two.hash });
    receive(this, "a", updateBetween(this.v1, two, corrupt));
    for (const host of ["a", "b"]) {
        const asked = sentMessages(this, MessageKind.PartRequest).at(-1);
        assert.deepEqual(asked?.to, { host });
        const missing = asked?.message.kind === MessageKind.PartRequest ? asked.message.hashes : [];
        receive(this, host, { kind: MessageKind.Parts, parts: [], missing });
    }
});

Then("each neighbour was asked once for each part, then the object store", function (this: World) {
    const asked = sentMessages(this, MessageKind.PartRequest).flatMap(({ to, message }) =>
        message.kind === MessageKind.PartRequest
            ? message.hashes.map(hash => `${JSON.stringify(to)} ${hash}`)
            : [],
    );
    assert.equal(new Set(asked).size, asked.length);
    const reads = this.effects.flatMap(effects => effects.reads);
    assert.equal(new Set(reads).size, reads.length);
    assert.equal(reads.length * 2, asked.length);
    assert.ok(reads.length > 0);
    assert.equal(this.host.held?.manifest.version, 1);
});

Then("version 2 is applied after the object store has answered", function (this: World) {
    const two = makeVersion(2);
    for (const hash of this.effects.flatMap(effects => effects.reads)) {
        const bytes = two.parts.find(part => part.hash === hash)?.bytes;
        assert.ok(bytes !== undefined);
        feed(this, { kind: InputKind.StoredObject, hash, bytes });
    }
    assert.equal(this.host.held?.manifest.version, 2);
});

When(
    /^it reads a head row whose bad version 3 with "(a declared|an undeclared)" reference follows version 2$/,
    function (this: World, reference: string) {
        const two = makeVersion(2);
        const three = makeDanglingVersion(3, { declared: reference === "a declared" });
        this.objects = new Map([
            [two.hash, canonicalBytes(two.manifest)],
            ...[...two.parts, ...three.objects].map(({ hash, bytes }) => [hash, bytes] as const),
        ]);
        const history = [three, two, this.v1].map(({ hash }, i) => ({ version: 3 - i, manifestHash: hash }));
        this.head = { version: 3, manifestHash: three.hash, history };
        readHeadAndObjects(this);
    },
);

When("it reads version 2 with all its parts from the object store", function (this: World) {
    const two = makeVersion(2);
    const history = [two, this.v1].map(({ hash }, i) => ({ version: 2 - i, manifestHash: hash }));
    feed(this, { kind: InputKind.Head, head: { version: 2, manifestHash: two.hash, history } });
    feed(this, {
        kind: InputKind.StoredObject,
        hash: two.hash,
        bytes: canonicalBytes(two.manifest),
        related: new Map(two.parts.map(({ hash, bytes }) => [hash, bytes])),
    });
});

Then("version 2 reuses the byte arrays of version 1 for equal parts", function (this: World) {
    const { manifest, parts } = this.host.held ?? assert.fail("the host holds no version");
    assert.equal(manifest.version, 2);
    const before = new Map(this.v1.parts.map(({ hash, bytes }) => [hash, bytes]));
    const shared = [...parts].filter(([hash]) => before.has(hash));
    assert.ok(shared.length > 0, "the versions share no part");
    shared.forEach(([hash, bytes]) => assert.equal(bytes, before.get(hash), hash));
});

/** Feeds the head row and every object that the host then requests; returns the number of objects. */
function readHeadAndObjects(world: World): number {
    const waiting = [...feed(world, { kind: InputKind.Head, head: world.head }).reads];
    let count = 0;
    for (let hash = waiting.shift(); hash !== undefined; hash = waiting.shift(), count += 1) {
        const bytes = world.objects.get(hash) as Uint8Array;
        waiting.push(...feed(world, { kind: InputKind.StoredObject, hash, bytes }).reads);
    }
    return count;
}

Then(
    "it holds version {int} and reports version {int} as rejected",
    function (this: World, held: number, rejected: number) {
        assert.equal(this.host.held?.manifest.version, held);
        assert.equal(this.host.held.resources.size, resourceCountOfS0);
        assert.equal(this.host.rejected?.version, rejected);
    },
);

Then("it reads no object again when it reads the same head row", function (this: World) {
    assert.equal(readHeadAndObjects(this), 0);
});

When("two neighbours announce version 2 and do not answer", function (this: World) {
    const two = makeVersion(2);
    for (const host of ["a", "b"]) {
        receive(this, host, { kind: MessageKind.Announce, version: 2, manifestHash: two.hash });
    }
    for (let i = 0; i < 60; i += 1) {
        this.now += 100;
        feed(this, { kind: InputKind.Tick });
    }
});

Then("each receives a pull in turn and the object store is read last", function (this: World) {
    const pulled = sentMessages(this, MessageKind.Pull).map(({ to }) => to);
    assert.deepEqual(pulled, [{ host: "a" }, { host: "b" }]);
    assert.deepEqual(
        this.effects.flatMap(effects => effects.reads),
        [makeVersion(2).hash],
    );
});

When("{int} neighbours without a version pull from it", function (this: World, count: number) {
    const hosts = Array.from({ length: count }, (_, i) => `n${i}`);
    feed(this, { kind: InputKind.Links, links: linksTo(hosts) });
    hosts.forEach(host => receive(this, host, { kind: MessageKind.Pull, held: 0 }));
});

Then(
    "{int} snapshots are sent, {int} wait and {int} are refused with an event",
    function (this: World, sent: number, waiting: number, refused: number) {
        assert.equal(sentMessages(this, MessageKind.Snapshot).length, sent);
        assert.equal(this.host.queuedSnapshots.size, waiting);
        const events = this.effects.flatMap(effects => effects.events);
        assert.equal(events.filter(event => event.name === "configuration.snapshotRefused").length, refused);
    },
);

Then("a further snapshot is sent when one of them is confirmed", function (this: World) {
    const before = sentMessages(this, MessageKind.Snapshot).length;
    receive(this, "n3", { kind: MessageKind.Heartbeat, version: 1, manifestHash: this.v1.hash });
    assert.equal(sentMessages(this, MessageKind.Snapshot).length, before + 1);
});

When("{int} steps with large parts are appended to the update log", function (this: World, count: number) {
    this.updateLog = emptyUpdateLog;
    for (let version = 1; version <= count; version += 1) {
        const bytes = new Uint8Array(400_000).fill(version);
        const hash = contentHash(bytes);
        const changed = { "service/s": { hash, references: [], neededBy: [] } };
        const step = { base: version - 1, version, manifestHash: "", delta: { changed, removed: [] } };
        this.updateLog = appendSteps(this.updateLog, [step], new Map([[hash, bytes]]));
    }
});

Then(
    "at most {int} steps and {int} bytes remain in the log, without a gap",
    function (this: World, steps: number, bytes: number) {
        const { updateLog } = this;
        assert.ok(updateLog.steps.length > 0 && updateLog.steps.length <= steps);
        assert.ok(updateLog.bytes <= bytes);
        assert.equal(updateLog.steps.at(-1)?.version, 200);
        assert.equal(updateLog.parts.size, updateLog.steps.length);
        updateLog.steps.slice(1).forEach((step, i) => assert.equal(step.base, updateLog.steps[i]?.version));
    },
);

When("a backend server of another service starts on it", function (this: World) {
    receive(this, "b", { kind: MessageKind.Heartbeat, version: 1, manifestHash: this.v1.hash });
    feed(this, { kind: InputKind.Interest, interest: { services: ["s0", "s1"], outsideCallers: false } });
});

Then("it requests the missing parts and still holds version 1 meanwhile", function (this: World) {
    assert.equal(sentMessages(this, MessageKind.PartRequest).length, 1);
    assert.equal(this.host.held?.resources.size, resourceCountOfS0);
    assert.equal(this.host.held?.manifest.version, 1);
});

Then("it holds the resources of both services when the parts arrive", function (this: World) {
    receive(this, "b", { kind: MessageKind.Parts, parts: this.v1.parts, missing: [] });
    assert.equal(this.host.held?.manifest.version, 1);
    assert.ok(this.host.held?.resources.has("route/s1"));
    assert.ok(this.host.held?.resources.has("route/s0"));
});

Given("a distributing host without a version and with floor {int}", function (this: World, floor: number) {
    this.now = 1_000;
    this.effects = [];
    const interest = { services: ["s0"], outsideCallers: false };
    this.host = createDistribution({ spread: "eager", region: "r1", interest });
    feed(this, { kind: InputKind.Links, links: linksTo(["a"]) });
    feed(this, { kind: InputKind.Floor, floor });
});

When("a neighbour sends it a snapshot of version {int}", function (this: World, version: number) {
    const { manifest, hash, parts } = makeVersion(version);
    receive(this, "a", { kind: MessageKind.Snapshot, manifest, manifestHash: hash, parts });
});

Then("it holds no version", function (this: World) {
    assert.equal(this.host.held, undefined);
});
