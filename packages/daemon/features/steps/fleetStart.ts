import { Given, Then, When } from "@cucumber/cucumber";
import { generateConfiguration, isLive, PlatformOperation } from "@tanagertray/core";
import { createEmulatedFleet, type EmulatedFleet } from "@tanagertray/standin/fleet/emulatedFleet";
import type { EmulatedHost } from "@tanagertray/standin/fleet/emulatedHost";
import assert from "node:assert/strict";
import { createSeededRandom } from "../../../core/features/support/seededRandom.js";
import { createFleetAnswers, realTimeLimitMs, runUntilHolds } from "./fleetWorld.js";

interface World {
    fleet: EmulatedFleet;
    random: () => number;
    /** Virtual time of the common start, in milliseconds. */
    startedAt: number;
    departed: string;
    /** Host that is short of processor time. */
    slow: string;
    lost: string;
}

const seed = 7;
const tableOperations = [PlatformOperation.ReadRow, PlatformOperation.WriteRow, PlatformOperation.ListRows];
const configuration = generateConfiguration(createFleetAnswers(), { version: 1 });
const timeout = realTimeLimitMs;

function knows({ board }: EmulatedHost, others: readonly EmulatedHost[]): boolean {
    const { self, records } = board.read("membership");
    return others.every(({ location: { host } }) => {
        const record = host === self.host ? self : records.get(host);
        return record !== undefined && isLive(record) && record.offers.length === 1;
    });
}

const knowEachOther = (hosts: readonly EmulatedHost[]) => hosts.every(host => knows(host, hosts));

Given("an emulated fleet of {int} hosts that starts at once", function (this: World, hosts: number) {
    this.random = createSeededRandom(seed);
    this.fleet = createEmulatedFleet({ hosts, random: this.random });
    this.startedAt = 0;
});

When("the first version is accepted {float} s after the start", function (this: World, seconds: number) {
    this.fleet.queue.schedule(seconds * 1_000, () => this.fleet.platform.accept(configuration));
});

Then(
    /^(?:all|the remaining) hosts are ready within (\d+) s and know each other within (\d+) s(?: of the restart)?$/,
    { timeout },
    async function (this: World, readySeconds: string, knownSeconds: string) {
        const { fleet, startedAt } = this;
        const hosts = () => fleet.hosts();
        await fleet.runUntil(startedAt + 1_000);
        await runUntilHolds(fleet, startedAt + Number(readySeconds) * 1_000, () =>
            hosts().every(host => host.isReady()),
        );
        await runUntilHolds(fleet, startedAt + Number(knownSeconds) * 1_000, () => knowEachOther(hosts()));
    },
);

Then(
    "within {int} s the hosts have sent at most {int} KB each between regions and {int} KB each between domains",
    { timeout },
    async function (this: World, seconds: number, regionKilobytes: number, domainKilobytes: number) {
        const { fleet } = this;
        await fleet.runUntil(seconds * 1_000);
        const perHost = (bytes: number) => bytes / 1_000 / fleet.locations.length;
        const region = perHost(fleet.network.regionBytes());
        const domain = perHost(fleet.network.domainBytes());
        assert.ok(region <= regionKilobytes, `${region} KB between regions`);
        assert.ok(domain <= domainKilobytes, `${domain} KB between domains`);
    },
);

Then(
    "the hosts have made at most {int} requests each to the table service",
    function (this: World, limit: number) {
        const requests = tableOperations.reduce(
            (sum, operation) => sum + (this.fleet.requests().get(operation) ?? 0),
            0,
        );
        assert.ok(requests <= limit * this.fleet.locations.length, `${requests} requests`);
    },
);

const victims: Readonly<Record<string, (fleet: EmulatedFleet) => readonly EmulatedHost[]>> = {
    "the hosts in the rows": fleet => {
        const listed = new Set(
            [...fleet.platform.rows]
                .filter(([key]) => key.startsWith("domain/"))
                .flatMap(([, { row }]) => (row as { addresses: string[] }).addresses),
        );
        return fleet.hosts().filter(({ address }) => listed.has(address));
    },
    "the relays": fleet => fleet.hosts().filter(({ board }) => board.read("topology").domainRelay),
};

When(
    /^(the hosts in the rows|the relays) are killed (noticeably|silently) ([\d.]+) s after the start$/,
    { timeout },
    async function (this: World, killed: string, how: string, seconds: string) {
        await this.fleet.runUntil(Number(seconds) * 1_000);
        const hosts = victims[killed]?.(this.fleet) ?? [];
        assert.ok(hosts.length > 0, "no host was chosen");
        hosts.forEach(({ location }) => this.fleet.kill(location.host, { isSilent: how === "silently" }));
    },
);

When(
    "domain {int} is cut off from all others, but not from the platform, from {float} s to {int} s",
    { timeout },
    async function (this: World, domain: number, from: number, to: number) {
        const { fleet } = this;
        fleet.queue.schedule(from * 1_000, () =>
            fleet.partition(({ failureDomain }) => failureDomain === `domain-${domain}`),
        );
        fleet.queue.schedule(to * 1_000, () => fleet.partition(undefined));
        await fleet.runUntil(from * 1_000);
    },
);

Then(
    "within {int} s the hosts of domain {int} know each other and are ready",
    { timeout },
    async function (this: World, seconds: number, domain: number) {
        const { fleet } = this;
        const members = () =>
            fleet.hosts().filter(({ location }) => location.failureDomain === `domain-${domain}`);
        await runUntilHolds(
            fleet,
            seconds * 1_000,
            () => knowEachOther(members()) && members().every(host => host.isReady()),
        );
    },
);

When(
    "the fleet has run for {int} s, and then {int} hosts restart every second",
    { timeout },
    async function (this: World, seconds: number, count: number) {
        const { fleet, random } = this;
        await fleet.runUntil(seconds * 1_000);
        const restartSome = (round: number) => {
            for (let next = 0; next < count; next += 1) {
                const index = 1 + Math.floor(random() * (fleet.locations.length - 1));
                const host = fleet.locations[index]?.host ?? "";
                fleet.kill(host);
                fleet.start(host);
            }
            if (round > 1) {
                fleet.queue.schedule(fleet.queue.now() + 1_000, () => restartSome(round - 1));
            }
        };
        restartSome(8);
    },
);

When(
    "a host publishes the departure of its backend server {int} s later",
    { timeout },
    async function (this: World, seconds: number) {
        const { fleet } = this;
        await fleet.runUntil(fleet.queue.now() + seconds * 1_000);
        this.departed = fleet.locations[0]?.host ?? "";
        fleet.host(this.departed)?.drain();
        this.startedAt = fleet.queue.now();
    },
);

Then("every other host knows of the departure within {int} s", async function (this: World, seconds: number) {
    const { fleet, departed, startedAt } = this;
    // Hosts that restarted a moment ago do not serve calls yet.
    const others = fleet
        .hosts()
        .filter(host => host.isReady() && host.location.host !== departed)
        .map(({ location }) => location.host);
    await runUntilHolds(fleet, startedAt + seconds * 1_000, () =>
        others.every(name => {
            const host = fleet.host(name);
            const record = host?.board.read("membership").records.get(departed);
            return host === undefined || !host.isReady() || record?.departures?.length === 1;
        }),
    );
});

When(
    "all hosts lose their power at {int} s and restart at {int} s",
    { timeout },
    async function (this: World, lostAt: number, restartAt: number) {
        const { fleet, random } = this;
        await fleet.runUntil(lostAt * 1_000);
        fleet.hosts().forEach(({ location }) => fleet.kill(location.host, { isSilent: true }));
        await fleet.runUntil(restartAt * 1_000);
        this.startedAt = restartAt * 1_000;
        const startSpreadMs = 300;
        fleet.locations.forEach(({ host }) =>
            fleet.queue.schedule(this.startedAt + random() * startSpreadMs, () => fleet.start(host)),
        );
    },
);

const lastHost = ({ fleet }: World) => fleet.locations.at(-1)?.host ?? "";

When("the platform no longer answers the last host from {int} s on", function (this: World, seconds: number) {
    const { fleet } = this;
    fleet.queue.schedule(seconds * 1_000, () => fleet.cutPlatform(({ host }) => host === lastHost(this)));
});

When(
    "the last host restarts {int} s after the start with turns of {int} ms of its event loop",
    { timeout },
    async function (this: World, seconds: number, turnMs: number) {
        const { fleet } = this;
        await fleet.runUntil(seconds * 1_000);
        this.slow = lastHost(this);
        this.startedAt = fleet.queue.now();
        fleet.kill(this.slow);
        fleet.start(this.slow, { turnMs });
    },
);

Then(
    "it is ready and linked to its neighbours within {int} s",
    { timeout },
    async function (this: World, seconds: number) {
        const { fleet, slow, startedAt } = this;
        await runUntilHolds(fleet, startedAt + seconds * 1_000, () => {
            const host = fleet.host(slow);
            const { neighbours } = host?.board.read("topology") ?? { neighbours: [] };
            const links = host?.board.read("peerLinks");
            const isLinked = neighbours.length > 0 && neighbours.every(next => links?.has(next.host));
            return isLinked && host?.isReady() === true;
        });
    },
);

Then(
    "a version that is accepted then is in force on it within {int} s",
    { timeout },
    async function (this: World, seconds: number) {
        const { fleet, slow } = this;
        const next = generateConfiguration(createFleetAnswers(), { version: 2 });
        fleet.platform.accept(next);
        await runUntilHolds(
            fleet,
            fleet.queue.now() + seconds * 1_000,
            () => fleet.host(slow)?.board.read("configuration").held?.manifest.version === 2,
        );
    },
);

When("a neighbour of it loses its power", async function (this: World) {
    const { fleet, slow } = this;
    // Links that were opened while the host joined are closed by then.
    await fleet.runUntil(fleet.queue.now() + 10_000);
    const { neighbours } = fleet.host(slow)?.board.read("topology") ?? { neighbours: [] };
    this.lost = neighbours[0]?.host ?? "";
    this.startedAt = fleet.queue.now();
    fleet.kill(this.lost, { isSilent: true });
});

Then(
    "it closes the link to that neighbour within {int} s",
    { timeout },
    async function (this: World, seconds: number) {
        const { fleet, slow, lost, startedAt } = this;
        const isLinked = () => fleet.host(slow)?.board.read("peerLinks").has(lost) === true;
        assert.ok(isLinked());
        await runUntilHolds(fleet, startedAt + seconds * 1_000, () => !isLinked());
    },
);
