import { Given, Then, When } from "@cucumber/cucumber";
import {
    chooseRepairBuckets,
    chooseTopology,
    compareRecords,
    computeDigest,
    detectFailures,
    digestBucketOf,
    emptyHostTable,
    expireTombstones,
    HostState,
    isPublicationDue,
    mergeRecords,
    recordsInBuckets,
    refute,
    rendezvousHash,
    tombstoneTtlMs,
    type DetectionResult,
    type HostRecord,
    type HostTable,
    type LinkOutages,
    type MergeResult,
    type PublicationState,
    type Topology,
} from "@tanagertray/core";
import fc from "fast-check";
import assert from "node:assert/strict";

interface World {
    self: HostRecord;
    suspicion: HostRecord;
    refutation: HostRecord | undefined;
    table: HostTable;
    otherTable: HostTable;
    detection: DetectionResult;
    merge: MergeResult;
    topologies: Map<string, Topology>;
    choices: { before: string[]; after: string[] }[];
    publication: PublicationState;
}

const seed = 20_240_611;
const start = 1_000_000;

function makeRecord(host: string, change: Partial<HostRecord> = {}): HostRecord {
    return {
        host,
        failureDomain: host.slice(0, 1),
        region: "r",
        incarnation: 100,
        counter: 1,
        state: HostState.Alive,
        peerAddress: `${host}:1`,
        offers: [],
        version: 0,
        ...change,
    };
}

When("sets of records of one host are merged in random orders, with repetitions", function () {
    // The property is checked in the next step.
});

Then("every order of host records results in the newest one", function () {
    const recordChange = fc.record({
        incarnation: fc.integer({ min: 1, max: 3 }),
        counter: fc.integer({ min: 0, max: 3 }),
        state: fc.constantFrom(...Object.values(HostState)),
    });
    const orders = fc
        .array(recordChange, { minLength: 1, maxLength: 12 })
        .chain(list =>
            fc.tuple(
                fc.shuffledSubarray(list, { minLength: list.length }),
                fc.shuffledSubarray([...list, ...list], { minLength: list.length * 2 }),
            ),
        );
    fc.assert(
        fc.property(orders, ([once, twice]) => {
            const results = [once, twice].map(order =>
                order.reduce(
                    (table, change, at) => mergeRecords(table, [makeRecord("a1", change)], start + at).table,
                    emptyHostTable,
                ),
            );
            const [one, two] = results.map(table => table.records.get("a1"));
            assert.deepEqual(one, two);
            once.forEach(entry => assert.ok(compareRecords(one as HostRecord, makeRecord("a1", entry)) >= 0));
        }),
        { seed, numRuns: 500 },
    );
});

Given(
    "a host record of {string} with incarnation {int} and counter {int}",
    function (this: World, host: string, incarnation: number, counter: number) {
        this.self = makeRecord(host, { incarnation, counter });
    },
);

When("the host receives a suspicion of itself with counter {int}", function (this: World, counter: number) {
    this.suspicion = { ...this.self, counter, state: HostState.Suspect };
    this.refutation = refute(this.self, this.suspicion);
});

When("the host receives its own record with incarnation {int}", function (this: World, incarnation: number) {
    this.refutation = refute(this.self, { ...this.self, incarnation, counter: 0 });
});

When("the host leaves and is reported failed with counter {int}", function (this: World, counter: number) {
    this.self = { ...this.self, state: HostState.Left };
    this.refutation = refute(this.self, { ...this.self, counter, state: HostState.Failed });
});

Then(
    "its refutation has incarnation {int} and counter {int}",
    function (this: World, incarnation: number, counter: number) {
        assert.deepEqual(this.refutation, { ...this.self, incarnation, counter });
    },
);

Then("the refutation is newer than the suspicion", function (this: World) {
    assert.ok(compareRecords(this.refutation as HostRecord, this.suspicion) > 0);
});

Then("there is no refutation", function (this: World) {
    assert.equal(this.refutation, undefined);
});

Then("the left record is newer than every other record of the same incarnation", function (this: World) {
    for (const state of [HostState.Alive, HostState.Suspect, HostState.Failed]) {
        assert.ok(compareRecords(this.self, { ...this.self, state, counter: 1_000 }) > 0);
    }
});

Given(
    "a host table of {string}, {string} and {string} in domain {string}, and {string} in domain {string}",
    function (this: World, a: string, b: string, c: string, _own: string, d: string, _other: string) {
        this.table = mergeRecords(
            emptyHostTable,
            [a, b, c, d].map(host => makeRecord(host)),
            start,
        ).table;
    },
);

function detect(world: World, neighbours: string[], now: number, outages: LinkOutages): DetectionResult {
    return detectFailures({
        self: makeRecord("a1"),
        table: world.table,
        neighbours,
        linkedHosts: new Set<string>(),
        linkOutages: outages,
        now,
    });
}

When(
    "host {string} has had no link to its neighbours {string} and {string} for {int} s",
    function (this: World, _self: string, one: string, two: string, seconds: number) {
        const first = detect(this, [one, two], start, new Map());
        assert.deepEqual(first.records, []);
        this.detection = detect(this, [one, two], start + seconds * 1_000, first.linkOutages);
    },
);

When(
    "host {string} has had no link to its neighbour {string} for {int} s",
    function (this: World, _self: string, host: string, seconds: number) {
        const first = detect(this, [host], start, new Map());
        this.detection = detect(this, [host], start + seconds * 1_000, first.linkOutages);
    },
);

Then("host {string} suspects only {string}", function (this: World, _self: string, host: string) {
    assert.deepEqual(this.detection.records, [makeRecord(host, { state: HostState.Suspect })]);
});

Then("host {string} suspects no host", function (this: World, _self: string) {
    assert.deepEqual(this.detection.records, []);
});

Then(
    "{float} s after the suspicion no host has failed, {float} s after it {string} has failed",
    function (this: World, early: number, late: number, host: string) {
        this.table = mergeRecords(this.table, this.detection.records, start).table;
        assert.deepEqual(detect(this, [], start + early * 1_000, new Map()).records, []);
        const { records } = detect(this, [], start + late * 1_000, new Map());
        assert.deepEqual(records, [makeRecord(host, { state: HostState.Failed })]);
    },
);

When(
    "host {string} refutes a suspicion of {string} while the link stays down",
    function (this: World, host: string, _suspecting: string) {
        const first = detect(this, [host], start - 1_000, new Map());
        this.detection = detect(this, [host], start, first.linkOutages);
        const refutation = makeRecord(host, { counter: 2 });
        this.table = mergeRecords(this.table, [...this.detection.records, refutation], start).table;
    },
);

Then("{string} suspects {string} again only after 10 s", function (this: World, _self: string, host: string) {
    const early = detect(this, [host], start + 9_999, this.detection.linkOutages);
    assert.deepEqual(early.records, []);
    const late = detect(this, [host], start + 10_000, early.linkOutages);
    assert.deepEqual(late.records, [makeRecord(host, { counter: 2, state: HostState.Suspect })]);
});

When("{int} hosts leave one after the other", function (this: World, count: number) {
    const leaving = Array.from({ length: count }, (_, i) => makeRecord(`a${i}`, { state: HostState.Left }));
    const firstHalf = mergeRecords(emptyHostTable, leaving.slice(0, count / 2), start).table;
    this.table = mergeRecords(firstHalf, leaving.slice(count / 2), start + 1_000).table;
});

Then("{int} host tombstones remain, and none after 10 minutes", function (this: World, remaining: number) {
    const bounded = expireTombstones(this.table, start + 2_000);
    assert.equal(bounded.records.size, remaining);
    assert.ok(!bounded.records.has("a0"), "the oldest tombstone is removed first");
    const later = expireTombstones(bounded, start + 1_000 + tombstoneTtlMs);
    assert.equal(later.records.size + later.since.size, 0);
});

When("a failed host is reported alive with an older counter", function (this: World) {
    const failed = makeRecord("a2", { counter: 4, state: HostState.Failed });
    this.table = mergeRecords(emptyHostTable, [failed], start).table;
    this.merge = mergeRecords(this.table, [makeRecord("a2", { counter: 3 })], start);
});

Then("the merge returns a correction for the sender and leaves the table unchanged", function (this: World) {
    assert.deepEqual(this.merge.corrections, [this.table.records.get("a2")]);
    assert.equal(this.merge.table, this.table);
    assert.deepEqual(this.merge.changed, []);
});

Given("two host tables of 200 hosts that differ in one host", function (this: World) {
    const hosts = Array.from({ length: 200 }, (_, i) => makeRecord(`a${i}`));
    this.table = mergeRecords(emptyHostTable, hosts, start).table;
    this.otherTable = mergeRecords(this.table, [makeRecord("a77", { counter: 2 })], start).table;
});

Then("one bucket of their digests differs and its records include that host", function (this: World) {
    const [ours, theirs] = [this.table, this.otherTable].map(table => computeDigest(table.records.values()));
    const buckets = chooseRepairBuckets(ours ?? [], theirs ?? [], 200, () => 0);
    assert.deepEqual(buckets, [digestBucketOf("a77")]);
    const sent = recordsInBuckets(this.otherTable.records.values(), buckets);
    assert.ok(sent.some(entry => entry.host === "a77" && entry.counter === 2));
    assert.ok(sent.length < 20);
});

Then("an empty table receives every bucket", function (this: World) {
    const ours = computeDigest(this.table.records.values());
    const buckets = chooseRepairBuckets(ours, computeDigest([]), 200, () => 0);
    assert.equal(recordsInBuckets(this.table.records.values(), buckets).length, 200);
});

Then("a round of anti-entropy among 30000 hosts is limited to 2 buckets", function () {
    const theirs = Array.from({ length: 64 }, (_, bucket) => (bucket < 20 ? 1 : 0));
    const ours = theirs.map(() => 0);
    assert.equal(chooseRepairBuckets(ours, theirs, 30_000, () => 0.5).length, 2);
    assert.equal(chooseRepairBuckets(ours, theirs, 60, () => 0.5).length, 20);
});

Given(
    "a membership of {int} regions with {int} domains of {int} hosts each",
    function (this: World, regions: number, domains: number, hosts: number) {
        const records: HostRecord[] = [];
        for (let i = 0; i < regions * domains * hosts; i += 1) {
            const domain = Math.floor(i / hosts);
            const region = `r${Math.floor(domain / domains)}`;
            records.push(makeRecord(`h${i}`, { failureDomain: `d${domain}`, region }));
        }
        this.table = mergeRecords(emptyHostTable, records, start).table;
        this.topologies = new Map(records.map(entry => [entry.host, chooseTopology(entry, records)]));
    },
);

function countBy(world: World, key: "failureDomain" | "region", role: keyof Topology): number[] {
    const counts = new Map<string, number>();
    for (const [host, topology] of world.topologies) {
        const group = world.table.records.get(host)?.[key] ?? "";
        counts.set(group, (counts.get(group) ?? 0) + Number(topology[role] === true));
    }
    return [...new Set(counts.values())];
}

Then("every domain has 1 head reader and 2 domain relays", function (this: World) {
    assert.deepEqual(countBy(this, "failureDomain", "headReader"), [1]);
    assert.deepEqual(countBy(this, "failureDomain", "domainRelay"), [2]);
});

Then("every region has 2 region relays", function (this: World) {
    assert.deepEqual(countBy(this, "region", "regionRelay"), [2]);
});

Then("the links of all hosts connect the whole membership", function (this: World) {
    const links = new Map<string, string[]>();
    for (const [host, { neighbours }] of this.topologies) {
        for (const neighbour of neighbours) {
            links.set(host, [...(links.get(host) ?? []), neighbour.host]);
            links.set(neighbour.host, [...(links.get(neighbour.host) ?? []), host]);
        }
    }
    const reached = new Set(["h0"]);
    for (const host of reached) {
        links.get(host)?.forEach(other => reached.add(other));
    }
    assert.equal(reached.size, this.topologies.size);
});

When("one of 50 hosts is lost", function (this: World) {
    const hosts = Array.from({ length: 50 }, (_, i) => `a${i}`);
    this.choices = Array.from({ length: 100 }, (_, i) => ({
        before: rendezvousHash(`key${i}`, hosts, 2),
        after: rendezvousHash(`key${i}`, hosts.slice(1), 2),
    }));
});

Then("only the rendezvous choices that included it change", function (this: World) {
    assert.ok(this.choices.some(({ before }) => before.includes("a0")));
    for (const { before, after } of this.choices) {
        const kept = before.filter(host => host !== "a0");
        assert.deepEqual(after.slice(0, kept.length), kept);
    }
});

Given("a publishing host among {int} hosts", function (this: World, hosts: number) {
    this.publication = {
        self: makeRecord("a1"),
        advertisement: { state: HostState.Alive, offers: [], version: 0 },
        publishedAt: start,
        hosts,
        laggingSince: undefined,
        lagPublished: false,
        now: start,
    };
});

Then("a change of only the version is published after {int} s", function (this: World, seconds: number) {
    const changed = { ...this.publication, advertisement: { ...this.publication.advertisement, version: 7 } };
    assert.equal(isPublicationDue({ ...changed, now: start + seconds * 1_000 - 1 }), false);
    assert.equal(isPublicationDue({ ...changed, now: start + seconds * 1_000 }), true);
});

Then("new offers are published at once", function (this: World) {
    const offers = [{ service: "stock", slots: 12, startedAt: start }];
    const advertisement = { ...this.publication.advertisement, offers };
    assert.equal(isPublicationDue({ ...this.publication, advertisement }), true);
});

Then("a lag of 2 s is published once", function (this: World) {
    const lagging = { ...this.publication, laggingSince: start };
    assert.equal(isPublicationDue({ ...lagging, now: start + 1_999 }), false);
    assert.equal(isPublicationDue({ ...lagging, now: start + 2_000 }), true);
    assert.equal(isPublicationDue({ ...lagging, now: start + 9_000, lagPublished: true }), false);
});
