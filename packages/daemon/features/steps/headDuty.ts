import { Given, Then, When } from "@cucumber/cucumber";
import { generateConfiguration, headKey, PlatformOperation, type PlatformRequest } from "@tanagertray/core";
import { createEmulatedFleet, type EmulatedFleet } from "@tanagertray/standin/fleet/emulatedFleet";
import type { EmulatedHost } from "@tanagertray/standin/fleet/emulatedHost";
import assert from "node:assert/strict";
import { createSeededRandom } from "../../../core/features/support/seededRandom.js";
import { createFleetAnswers, realTimeLimitMs, runUntilHolds } from "./fleetWorld.js";

interface World {
    fleet: EmulatedFleet;
    createFleet: () => Promise<EmulatedFleet>;
    /** Time from the acceptance of the version until it was in force everywhere, for each length of the outage. */
    delays: { readonly outageMs: number; readonly delayMs: number }[];
    acceptedAt: number;
    turnedAway: ReadonlySet<string>;
    /** First read of the head row of each host that took over, by host. */
    firstReads: ReadonlyMap<string, PlatformRequest>;
}

const seed = 11;
const timeout = realTimeLimitMs;
/** Time after which a fleet of these sizes has started and settled, in milliseconds. */
const settledMs = 12_000;
/** Time after which a version counts as not distributed, in milliseconds. */
const longestDelayMs = 10_000;
const firstVersion = generateConfiguration(createFleetAnswers(), { version: 1 });
const secondVersion = generateConfiguration(createFleetAnswers(), { version: 2 });

const places: Readonly<Record<string, number>> = {
    "the readers": 1,
    "the readers and the first backups": 2,
    "every place of the order": 3,
};

/** Names of the hosts that have one of the first places of the order in their failure domain. */
function hostsInOrder(fleet: EmulatedFleet, count: number): ReadonlySet<string> {
    return new Set(fleet.hosts().flatMap(({ board }) => board.read("topology").headReaders.slice(0, count)));
}

const versionOf = ({ board }: EmulatedHost) => board.read("configuration").held?.manifest.version;

/** Starts a fleet that has settled with the first version. */
async function startFleet(hosts: number, domains: number, freshnessMs: number): Promise<EmulatedFleet> {
    const random = createSeededRandom(seed);
    const regions = Math.min(3, domains);
    const fleet = createEmulatedFleet({ hosts, domains, regions, freshnessMs, random });
    fleet.platform.accept(firstVersion);
    await fleet.runUntil(settledMs);
    assert.ok(fleet.hosts().every(host => host.isReady() && versionOf(host) === 1));
    return fleet;
}

async function silencePlatform(fleet: EmulatedFleet, ms: number): Promise<void> {
    fleet.cutPlatform(() => true);
    await fleet.runUntil(fleet.queue.now() + ms);
    fleet.cutPlatform(() => false);
}

/** Accepts the second version after a delay; resolves with the time at which it was accepted. */
async function acceptAfter(fleet: EmulatedFleet, ms: number): Promise<number> {
    await fleet.runUntil(fleet.queue.now() + ms);
    fleet.platform.accept(secondVersion);
    return fleet.queue.now();
}

Given(
    "an emulated fleet of {int} hosts in {int} domains with a freshness limit of {int} s",
    { timeout },
    async function (this: World, hosts: number, domains: number, seconds: number) {
        this.fleet = await startFleet(hosts, domains, seconds * 1_000);
        this.turnedAway = new Set();
    },
);

Given(
    "emulated fleets of {int} hosts in {int} domains with a freshness limit of {int} s",
    function (this: World, hosts: number, domains: number, seconds: number) {
        this.createFleet = () => startFleet(hosts, domains, seconds * 1_000);
    },
);

When(
    "the platform is silent for {float}, {float} and so on up to {float} s, and a version is accepted {float} s later",
    { timeout },
    async function (this: World, first: number, second: number, last: number, delay: number) {
        const delayMs = delay * 1_000;
        const stepMs = (second - first) * 1_000;
        this.delays = [];
        for (let outageMs = first * 1_000; outageMs <= last * 1_000; outageMs += stepMs) {
            const fleet = await this.createFleet();
            await silencePlatform(fleet, outageMs);
            const acceptedAt = await acceptAfter(fleet, delayMs);
            await runUntilHolds(fleet, acceptedAt + longestDelayMs, () =>
                fleet.hosts().every(host => versionOf(host) === 2),
            );
            this.delays.push({ outageMs, delayMs: fleet.queue.now() - acceptedAt });
        }
    },
);

Then("every host of each fleet has it in force within {float} s", function (this: World, seconds: number) {
    const late = this.delays.filter(({ delayMs }) => delayMs > seconds * 1_000);
    assert.deepEqual(late, [], `${late.length} of ${this.delays.length} fleets`);
});

When(/^the platform turns away (.*)$/, function (this: World, name: string) {
    this.turnedAway = hostsInOrder(this.fleet, places[name] ?? 0);
    this.fleet.cutPlatform(({ host }) => this.turnedAway.has(host));
});

/** Records the first read of the head row of each host that does not read it now. */
function recordFirstReads(fleet: EmulatedFleet): ReadonlyMap<string, PlatformRequest> {
    const firstReads = new Map<string, PlatformRequest>();
    for (const { board, location } of fleet.hosts()) {
        if (!board.read("headDuty").isReading) {
            board.follow("headReads", ({ request }) => {
                if (!firstReads.has(location.host)) {
                    firstReads.set(location.host, request);
                }
            });
        }
    }
    return firstReads;
}

When("the platform is silent for {float} s", { timeout }, async function (this: World, seconds: number) {
    this.firstReads = recordFirstReads(this.fleet);
    await silencePlatform(this.fleet, seconds * 1_000);
});

When(/^the readers are killed (noticeably|silently)$/, function (this: World, how: string) {
    const readers = hostsInOrder(this.fleet, 1);
    readers.forEach(host => this.fleet.kill(host, { isSilent: how === "silently" }));
});

When("a version is accepted {float} s later", { timeout }, async function (this: World, seconds: number) {
    this.acceptedAt = await acceptAfter(this.fleet, seconds * 1_000);
});

Then(
    /^every host(?: that the platform serves)? has it in force within ([\d.]+) s$/,
    { timeout },
    async function (this: World, seconds: string) {
        const hosts = () => this.fleet.hosts().filter(({ location }) => !this.turnedAway.has(location.host));
        await runUntilHolds(this.fleet, this.acceptedAt + Number(seconds) * 1_000, () =>
            hosts().every(host => versionOf(host) === 2),
        );
    },
);

Then(
    "each first read of a host that took over was held for at most {int} ms",
    function (this: World, maximum: number) {
        const reads = [...this.firstReads.values()].filter(
            request => request.operation === PlatformOperation.ReadRow && request.key === headKey,
        );
        assert.ok(reads.length > 0);
        reads.forEach(read => assert.ok("waitMs" in read && (read.waitMs ?? 0) <= maximum));
    },
);

When("{int} s pass without a change", { timeout }, async function (this: World, seconds: number) {
    const { fleet } = this;
    const reads = () => fleet.requests().get(PlatformOperation.ReadRow) ?? 0;
    const readsBefore = reads();
    await fleet.runUntil(fleet.queue.now() + seconds * 1_000);
    const domains = new Set(fleet.locations.map(({ failureDomain }) => failureDomain)).size;
    // The platform holds each read for 1 s.
    assert.ok(reads() - readsBefore <= domains * (seconds + 1), `${reads() - readsBefore} reads`);
});

Then("only one host of each domain has read the head row", function (this: World) {
    const reading = this.fleet.hosts().filter(({ board }) => board.read("headDuty").isReading);
    const domains = reading.map(({ location }) => location.failureDomain);
    assert.equal(new Set(domains).size, reading.length);
});
