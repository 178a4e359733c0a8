import { Given, Then, When } from "@cucumber/cucumber";
import { generateConfiguration, headKey, PlatformOperation, type PlatformRequest } from "@tanagertray/core";
import { createEmulatedFleet, type EmulatedFleet } from "@tanagertray/standin/fleet/emulatedFleet";
import type { EmulatedHost } from "@tanagertray/standin/fleet/emulatedHost";
import assert from "node:assert/strict";
import { createSeededRandom } from "../../../core/features/support/seededRandom.js";
import { createFleetAnswers, realTimeLimitMs, runUntilHolds } from "./fleetWorld.js";

interface World {
    fleet: EmulatedFleet;
    acceptedAt: number;
    turnedAway: ReadonlySet<string>;
    /** First read of the head row of each host that took over, by host. */
    firstReads: ReadonlyMap<string, PlatformRequest>;
}

const seed = 11;
const timeout = realTimeLimitMs;
/** Time after which a fleet of these sizes has started and settled, in milliseconds. */
const settledMs = 12_000;
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

Given(
    "an emulated fleet of {int} hosts in {int} domains with a freshness limit of {int} s",
    { timeout },
    async function (this: World, hosts: number, domains: number, seconds: number) {
        const random = createSeededRandom(seed);
        const regions = Math.min(3, domains);
        this.fleet = createEmulatedFleet({ hosts, domains, regions, freshnessMs: seconds * 1_000, random });
        this.turnedAway = new Set();
        this.fleet.platform.accept(firstVersion);
        await this.fleet.runUntil(settledMs);
        assert.ok(this.fleet.hosts().every(host => host.isReady() && versionOf(host) === 1));
    },
);

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
    this.fleet.cutPlatform(() => true);
    await this.fleet.runUntil(this.fleet.queue.now() + seconds * 1_000);
    this.fleet.cutPlatform(() => false);
});

When(/^the readers are killed (noticeably|silently)$/, function (this: World, how: string) {
    const readers = hostsInOrder(this.fleet, 1);
    readers.forEach(host => this.fleet.kill(host, { isSilent: how === "silently" }));
});

When("a version is accepted {float} s later", { timeout }, async function (this: World, seconds: number) {
    await this.fleet.runUntil(this.fleet.queue.now() + seconds * 1_000);
    this.fleet.platform.accept(secondVersion);
    this.acceptedAt = this.fleet.queue.now();
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
