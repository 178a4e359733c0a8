import { Given, Then, When } from "@cucumber/cucumber";
import {
    chooseTarget,
    createObservation,
    ejectedHosts,
    findTargets,
    leastRefusedWaitMs,
    matchPath,
    noteEnd,
    noteFailure,
    noteFull,
    noteLoad,
    noteRefusal,
    noteStart,
    noteSuccess,
    slowStartShare,
    Tier,
    type HostObservation,
    type HostRecord,
    type ServiceTargets,
    type Target,
} from "@tanagertray/core";
import assert from "node:assert/strict";
import { createSeededRandom } from "../support/seededRandom.js";

interface World {
    records: HostRecord[];
    targets: ServiceTargets;
    observations: Map<string, HostObservation>;
    seen: HostObservation;
}

const now = 1_000_000;
const self = { host: "a1", failureDomain: "a", region: "r1" };

function recordOf(
    host: string,
    failureDomain: string,
    region: string,
    change: Partial<HostRecord> = {},
): HostRecord {
    return {
        host,
        failureDomain,
        region,
        incarnation: 1,
        counter: 1,
        state: "alive",
        peerAddress: `${host}:1`,
        offers: [{ service: "s", slots: 4, startedAt: 0 }],
        version: 1,
        ...change,
    };
}

const targetOf = (host: string): Target => ({
    host,
    address: `${host}:1`,
    incarnation: 1,
    slots: 4,
    startedAt: 0,
    isSuspect: false,
});

Then(
    "routing pattern {string} and path {string} give {word}",
    function (pattern: string, path: string, matches: string) {
        assert.equal(matchPath(pattern, path), matches === "true");
    },
);

Given(
    "routing records of hosts in each tier, some failed, left or without the service",
    function (this: World) {
        this.records = [
            recordOf("a1", "a", "r1"),
            recordOf("a2", "a", "r1"),
            recordOf("a3", "a", "r1", { state: "suspect" }),
            recordOf("a4", "a", "r1", { state: "failed" }),
            recordOf("b1", "b", "r1"),
            recordOf("b2", "b", "r1", { state: "left" }),
            recordOf("b3", "b", "r1", { offers: [{ service: "other", slots: 1, startedAt: 0 }] }),
            recordOf("c1", "c", "r2"),
            recordOf("c2", "c", "r2", { offers: [] }),
        ];
    },
);

Then("each tier names its usable hosts alone", function (this: World) {
    const found = findTargets(self, this.records).get("s") as ServiceTargets;
    const names = Object.fromEntries(
        Object.entries(found).map(([tier, list]) => [tier, list.map(t => t.host)]),
    );
    assert.deepEqual(names, {
        [Tier.OwnHost]: ["a1"],
        [Tier.OwnFailureDomain]: ["a2", "a3"],
        [Tier.OwnRegion]: ["b1"],
        [Tier.OtherRegions]: ["c1"],
    });
});

Given("routing targets of 2 hosts in the own domain and 2 in another region", function (this: World) {
    this.targets = {
        [Tier.OwnHost]: [],
        [Tier.OwnFailureDomain]: [targetOf("near1"), targetOf("near2")],
        [Tier.OwnRegion]: [],
        [Tier.OtherRegions]: [targetOf("far1"), targetOf("far2")],
    };
    const hosts = ["near1", "near2", "far1", "far2"];
    this.observations = new Map(hosts.map(host => [host, createObservation()]));
});

function chosenHosts(world: World): string[] {
    const random = createSeededRandom(7);
    const { observations } = world;
    const options = { observations, now, random, coldStartMs: 0, excluded: new Set<string>() };
    const chosen = Array.from(
        { length: 1_000 },
        () => chooseTarget(world.targets, options)?.target.host ?? "none",
    );
    return [...new Set(chosen)].sort();
}

const observationOf = (world: World, host: string) => world.observations.get(host) as HostObservation;
const saturate = (world: World, host: string) =>
    noteRefusal(observationOf(world, host), now, { saturated: true, retryAfterMs: 1_000 });

Then("a thousand choices stay in the own domain", function (this: World) {
    assert.deepEqual(chosenHosts(this), ["near1", "near2"]);
});

When("one host of the own domain is saturated", function (this: World) {
    saturate(this, "near1");
});

When(
    "calls take {int} ms in the own domain and {int} ms elsewhere",
    function (this: World, own: number, far: number) {
        this.observations.forEach((seen, host) =>
            noteSuccess(seen, host.startsWith("near") ? own : far, now),
        );
    },
);

When("{int} s pass without a call to the own domain", function (this: World, seconds: number) {
    this.observations.forEach((seen, host) => {
        seen.latencyAt -= host.startsWith("near") ? seconds * 1_000 : 0;
    });
});

When("both hosts of the own domain are saturated", function (this: World) {
    saturate(this, "near2");
});

When("every host is saturated", function (this: World) {
    this.observations.forEach((_seen, host) => saturate(this, host));
});

Then("a thousand choices go to the other host of the own domain", function (this: World) {
    assert.deepEqual(chosenHosts(this), ["near2"]);
});

Then("a thousand choices go to the first host", function (this: World) {
    assert.deepEqual(chosenHosts(this), ["near1"]);
});

Then("a thousand choices go to the other region", function (this: World) {
    assert.deepEqual(chosenHosts(this), ["far1", "far2"]);
});

const traits: Record<string, (seen: HostObservation) => void> = {
    "calls in flight": noteStart,
    "a higher latency": seen => noteSuccess(seen, 50, now),
    "recent refusals": seen => noteRefusal(seen, now, { saturated: false, retryAfterMs: 0 }),
    "a high load": seen => noteLoad(seen, 0.9, now),
};

When(/^the first host has (.+)$/, function (this: World, trait: string) {
    traits[trait]?.(observationOf(this, "near1"));
});

When(
    "the first host reported a high load long ago and the second has one more call in flight",
    function (this: World) {
        noteLoad(observationOf(this, "near1"), 1, now - 60_000);
        noteStart(observationOf(this, "near2"));
    },
);

Given("a routing observation", function (this: World) {
    this.seen = createObservation();
});

Then(
    "2 failures do not eject it, the third does for 1 s and the next failures for 2, 4 and 8 s",
    function (this: World) {
        const ends = Array.from({ length: 6 }, () => {
            noteFailure(this.seen, now);
            return Math.max(0, this.seen.ejectedUntil - now);
        });
        assert.deepEqual(ends, [0, 0, 1_000, 2_000, 4_000, 8_000]);
    },
);

Then("while its trial call runs it gets no second call", function (this: World) {
    const tier = [targetOf("x"), targetOf("y")];
    const options = { observations: new Map([["x", this.seen]]), now: now + 9_000 };
    assert.deepEqual([...ejectedHosts(tier, options)], []);
    noteStart(this.seen);
    assert.deepEqual([...ejectedHosts(tier, options)], ["x"]);
});

Then("one success brings it back", function (this: World) {
    noteSuccess(this.seen, 5, now);
    noteEnd(this.seen);
    const options = { observations: new Map([["x", this.seen]]), now };
    assert.deepEqual([...ejectedHosts([targetOf("x"), targetOf("y")], options)], []);
    assert.equal(this.seen.ejections, 0);
});

Then("with 0 to 9 hosts of a tier all failing, at most half of them are ejected", function () {
    for (let count = 0; count <= 9; count += 1) {
        const tier = Array.from({ length: count }, (_, i) => targetOf(`h${i}`));
        const observations = new Map(tier.map(({ host }) => [host, createObservation()]));
        observations.forEach(seen => [1, 2, 3].forEach(() => noteFailure(seen, now)));
        assert.equal(ejectedHosts(tier, { observations, now }).size, Math.floor(count / 2));
    }
});

Then(
    "a host that is 25%, 50% and 100% through its cold start counts with that share of its slots",
    function () {
        const target = { ...targetOf("x"), startedAt: now };
        const shares = [0, 250, 500, 1_000, 2_000].map(age => slowStartShare(target, now + age, 1_000));
        assert.deepEqual(shares, [0.1, 0.25, 0.5, 1, 1]);
    },
);

/** Hosts that a hundred calls of the operation go to. */
function hostsOf(world: World, operation: string, at = now): string {
    const random = createSeededRandom(3);
    const { targets, observations } = world;
    const options = { observations, now: at, random, coldStartMs: 0, excluded: new Set<string>(), operation };
    const hosts = Array.from({ length: 100 }, () => chooseTarget(targets, options)?.target.host ?? "none");
    return [...new Set(hosts)].sort().join(",");
}

const refuseFor = (world: World, host: string, operation: string, waitMs: number) =>
    noteFull(world.observations.get(host) as HostObservation, operation, waitMs, now);

When(
    "{string} and {string} refuse {string} calls for a wait of {int} and {int} ms",
    function (this: World, a: string, b: string, operation: string, waitA: number, waitB: number) {
        refuseFor(this, a, operation, waitA);
        refuseFor(this, b, operation, waitB);
    },
);

Then(
    "{string} calls go to {string} and {string} calls to {string}",
    function (this: World, operation: string, hosts: string, other: string, otherHosts: string) {
        assert.equal(hostsOf(this, operation), hosts);
        assert.equal(hostsOf(this, other), otherHosts);
    },
);

Then(
    "when the others refuse {string} calls too, no host is chosen, and the least wait is {int} ms",
    function (this: World, operation: string, waitMs: number) {
        ["far1", "far2"].forEach(host => refuseFor(this, host, operation, 400));
        const { targets, observations } = this;
        assert.equal(hostsOf(this, operation), "none");
        assert.equal(leastRefusedWaitMs(targets, { observations, now, operation }), waitMs);
    },
);

Then(
    "{int} ms later {string} calls go to {string} again",
    function (this: World, afterMs: number, operation: string, hosts: string) {
        assert.equal(hostsOf(this, operation, now + afterMs), hosts);
    },
);
