import { Given, Then, When } from "@cucumber/cucumber";
import {
    chooseTarget,
    createObservation,
    ejectedHosts,
    findTargets,
    matchPath,
    minRefusedWaitMs,
    recordCallEnd,
    recordCallStart,
    recordCapacityReport,
    recordFailure,
    recordLoad,
    recordRefusal,
    recordSuccess,
    recordWaitRefusal,
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
    observation: HostObservation;
}

const now = 1_000_000;
const self = { host: "a1", failureDomain: "a", region: "r1" };

function makeRecord(
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

const makeTarget = (host: string): Target => ({
    host,
    address: `${host}:1`,
    incarnation: 1,
    slots: 4,
    startedAt: 0,
    isSuspect: false,
});

Then(
    "routing pattern {string} applied to path {string} gives {word}",
    function (pattern: string, path: string, matches: string) {
        assert.equal(matchPath(pattern, path), matches === "true");
    },
);

Given(
    "routing records of hosts in each tier, some failed, left or without the service",
    function (this: World) {
        this.records = [
            makeRecord("a1", "a", "r1"),
            makeRecord("a2", "a", "r1"),
            makeRecord("a3", "a", "r1", { state: "suspect" }),
            makeRecord("a4", "a", "r1", { state: "failed" }),
            makeRecord("b1", "b", "r1"),
            makeRecord("b2", "b", "r1", { state: "left" }),
            makeRecord("b3", "b", "r1", { offers: [{ service: "other", slots: 1, startedAt: 0 }] }),
            makeRecord("c1", "c", "r2"),
            makeRecord("c2", "c", "r2", { offers: [] }),
        ];
    },
);

Then("each tier contains only its usable hosts", function (this: World) {
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

Given("routing targets of 2 hosts in the own failure domain and 2 in another region", function (this: World) {
    this.targets = {
        [Tier.OwnHost]: [],
        [Tier.OwnFailureDomain]: [makeTarget("near1"), makeTarget("near2")],
        [Tier.OwnRegion]: [],
        [Tier.OtherRegions]: [makeTarget("far1"), makeTarget("far2")],
    };
    const hosts = ["near1", "near2", "far1", "far2"];
    this.observations = new Map(hosts.map(host => [host, createObservation()]));
});

function chosenHosts(world: World, { objectiveMs }: { objectiveMs?: number } = {}): string[] {
    const random = createSeededRandom(7);
    const { observations } = world;
    const options = {
        observations,
        now,
        random,
        coldStartMs: 0,
        excluded: new Set<string>(),
        ...(objectiveMs === undefined ? {} : { objectiveMs }),
    };
    const chosen = Array.from(
        { length: 1_000 },
        () => chooseTarget(world.targets, options)?.target.host ?? "none",
    );
    return [...new Set(chosen)].sort();
}

const hostObservation = (world: World, host: string) => world.observations.get(host) as HostObservation;
const saturate = (world: World, host: string) =>
    recordRefusal(hostObservation(world, host), now, { saturated: true, retryAfterMs: 1_000 });

Then("1000 selections stay in the own failure domain", function (this: World) {
    assert.deepEqual(chosenHosts(this), ["near1", "near2"]);
});

When("one host of the own failure domain is saturated", function (this: World) {
    saturate(this, "near1");
});

When(
    "calls take {int} ms in the own failure domain and {int} ms elsewhere",
    function (this: World, own: number, far: number) {
        this.observations.forEach((observation, host) =>
            recordSuccess(observation, host.startsWith("near") ? own : far, now),
        );
    },
);

When("{int} s pass without a call to the own failure domain", function (this: World, seconds: number) {
    this.observations.forEach((observation, host) => {
        observation.latencyUpdatedAt -= host.startsWith("near") ? seconds * 1_000 : 0;
    });
});

When("both hosts of the own failure domain are saturated", function (this: World) {
    saturate(this, "near2");
});

When("every host is saturated", function (this: World) {
    this.observations.forEach((_seen, host) => saturate(this, host));
});

Then("1000 selections go to the other host of the own failure domain", function (this: World) {
    assert.deepEqual(chosenHosts(this), ["near2"]);
});

Then("1000 selections go to the first host", function (this: World) {
    assert.deepEqual(chosenHosts(this), ["near1"]);
});

Then("1000 selections go to the other region", function (this: World) {
    assert.deepEqual(chosenHosts(this), ["far1", "far2"]);
});

const traits: Record<string, (observation: HostObservation) => void> = {
    "calls in flight": recordCallStart,
    "a higher latency": observation => recordSuccess(observation, 50, now),
    "recent refusals": observation => recordRefusal(observation, now, { saturated: false, retryAfterMs: 0 }),
    "a high load": observation => recordLoad(observation, 0.9, now),
};

When(/^the first host has (.+)$/, function (this: World, trait: string) {
    traits[trait]?.(hostObservation(this, "near1"));
});

When(
    "the first host reported a high load long ago and the second has one more call in flight",
    function (this: World) {
        recordLoad(hostObservation(this, "near1"), 1, now - 60_000);
        recordCallStart(hostObservation(this, "near2"));
    },
);

Given("a routing observation of a host", function (this: World) {
    this.observation = createObservation();
});

Then(
    "2 failures do not eject the host, the third ejects it for 1 s and the next ones for 2, 4 and 8 s",
    function (this: World) {
        const ends = Array.from({ length: 6 }, () => {
            recordFailure(this.observation, now);
            return Math.max(0, this.observation.ejectedUntil - now);
        });
        assert.deepEqual(ends, [0, 0, 1_000, 2_000, 4_000, 8_000]);
    },
);

Then("the host receives no second call while its trial call runs", function (this: World) {
    const tier = [makeTarget("x"), makeTarget("y")];
    const options = { observations: new Map([["x", this.observation]]), now: now + 9_000 };
    assert.deepEqual([...ejectedHosts(tier, options)], []);
    recordCallStart(this.observation);
    assert.deepEqual([...ejectedHosts(tier, options)], ["x"]);
});

Then("one success ends the ejection", function (this: World) {
    recordSuccess(this.observation, 5, now);
    recordCallEnd(this.observation);
    const options = { observations: new Map([["x", this.observation]]), now };
    assert.deepEqual([...ejectedHosts([makeTarget("x"), makeTarget("y")], options)], []);
    assert.equal(this.observation.ejections, 0);
});

Then("when all of 0 to 9 hosts of a tier fail, at most half of them are ejected", function () {
    for (let count = 0; count <= 9; count += 1) {
        const tier = Array.from({ length: count }, (_, i) => makeTarget(`h${i}`));
        const observations = new Map(tier.map(({ host }) => [host, createObservation()]));
        observations.forEach(observation => [1, 2, 3].forEach(() => recordFailure(observation, now)));
        assert.equal(ejectedHosts(tier, { observations, now }).size, Math.floor(count / 2));
    }
});

Then(
    "a host that is 25%, 50% and 100% through its cold start counts with that share of its slots",
    function () {
        const target = { ...makeTarget("x"), startedAt: now };
        const shares = [0, 250, 500, 1_000, 2_000].map(age => slowStartShare(target, now + age, 1_000));
        assert.deepEqual(shares, [0.1, 0.25, 0.5, 1, 1]);
    },
);

When(
    "hosts report service times of {int} ms in the own failure domain and {int} ms elsewhere",
    function (this: World, own: number, far: number) {
        this.observations.forEach((observation, host) => {
            const serviceMs = host.startsWith("near") ? own : far;
            recordCapacityReport(observation, { calls: 0, slots: 4, serviceMs }, now);
        });
    },
);

Then(
    "1000 selections with {int} ms left until the objective choose {string}",
    function (this: World, objectiveMs: number, hosts: string) {
        assert.equal(chosenHosts(this, { objectiveMs }).join(), hosts);
    },
);

/** Hosts that 100 selections for the operation choose, joined by commas. */
function chosenHostsFor(world: World, operation: string, at = now): string {
    const random = createSeededRandom(3);
    const { targets, observations } = world;
    const options = { observations, now: at, random, coldStartMs: 0, excluded: new Set<string>(), operation };
    const hosts = Array.from({ length: 100 }, () => chooseTarget(targets, options)?.target.host ?? "none");
    return [...new Set(hosts)].sort().join(",");
}

const refuseForWait = (world: World, host: string, operation: string, waitMs: number) =>
    recordWaitRefusal(world.observations.get(host) as HostObservation, operation, waitMs, now);

When(
    "{string} and {string} refuse {string} calls because of waits of {int} and {int} ms",
    function (this: World, a: string, b: string, operation: string, waitA: number, waitB: number) {
        refuseForWait(this, a, operation, waitA);
        refuseForWait(this, b, operation, waitB);
    },
);

Then(
    "{string} calls go to {string} and {string} calls to {string}",
    function (this: World, operation: string, hosts: string, other: string, otherHosts: string) {
        assert.equal(chosenHostsFor(this, operation), hosts);
        assert.equal(chosenHostsFor(this, other), otherHosts);
    },
);

Then(
    "when the others refuse {string} calls too, no host is chosen, and the shortest wait is {int} ms",
    function (this: World, operation: string, waitMs: number) {
        ["far1", "far2"].forEach(host => refuseForWait(this, host, operation, 400));
        const { targets, observations } = this;
        assert.equal(chosenHostsFor(this, operation), "none");
        assert.equal(minRefusedWaitMs(targets, { observations, now, operation }), waitMs);
    },
);

Then(
    "{int} ms later {string} calls go to {string} again",
    function (this: World, afterMs: number, operation: string, hosts: string) {
        assert.equal(chosenHostsFor(this, operation, now + afterMs), hosts);
    },
);
