import { Then, When } from "@cucumber/cucumber";
import { generateConfiguration, HostState, type GeneratedConfiguration } from "@tanagertray/core";
import { createEmulatedFleet, type EmulatedFleet } from "@tanagertray/standin/fleet/emulatedFleet";
import assert from "node:assert/strict";
import { createSeededRandom } from "../../../core/features/support/seededRandom.js";
import { createFleetAnswers, realTimeLimitMs, runUntilHolds } from "./fleetWorld.js";

interface World {
    fleet: EmulatedFleet;
    version: number;
    /** Virtual time at which the last fault ended, in milliseconds. */
    lastFaultEnd: number;
}

/** One fault: starts now and undoes itself after the duration. */
interface Fault {
    readonly world: World;
    readonly random: () => number;
    readonly durationMs: number;
    readonly domain: string;
}

const faultsUntilMs = 14_000;
const maxDurationMs = 6_000;
const maxPowerLossMs = 2_000;
const maxFaults = 10;
const hostRange = { least: 12, most: 52 };
const domainRange = { least: 3, most: 9 };
const startSpreadMs = 300;

const createVersion = (version: number): GeneratedConfiguration =>
    generateConfiguration(createFleetAnswers(), { version });

const FaultKind = {
    Kill: "kill",
    PowerLoss: "powerLoss",
    Partition: "partition",
    PlatformCut: "platformCut",
    Version: "version",
} as const;
type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

const faults = {
    [FaultKind.Kill]: fault => killHosts(fault, 0.1 + 0.4 * fault.random(), fault.durationMs),
    [FaultKind.PowerLoss]: fault => killHosts(fault, 1, Math.min(fault.durationMs, maxPowerLossMs)),
    [FaultKind.Partition]: ({ world: { fleet }, domain, durationMs }) => {
        fleet.partition(location => location.failureDomain === domain);
        fleet.queue.schedule(fleet.queue.now() + durationMs, () => fleet.partition(undefined));
    },
    [FaultKind.PlatformCut]: ({ world: { fleet }, domain, durationMs, random }) => {
        const cutsAll = random() < 0.5;
        fleet.cutPlatform(location => cutsAll || location.failureDomain === domain);
        fleet.queue.schedule(fleet.queue.now() + durationMs, () => fleet.cutPlatform(() => false));
    },
    [FaultKind.Version]: ({ world }) => {
        world.version += 1;
        world.fleet.platform.accept(createVersion(world.version));
    },
} satisfies Record<FaultKind, (fault: Fault) => void>;

function killHosts({ world: { fleet }, random }: Fault, share: number, durationMs: number): void {
    const isSilent = random() < 0.5;
    const names = fleet
        .hosts()
        .map(({ location }) => location.host)
        .filter(() => random() < share);
    names.forEach(name => {
        fleet.kill(name, { isSilent });
        fleet.queue.schedule(fleet.queue.now() + durationMs + random() * startSpreadMs, () => {
            if (fleet.host(name) === undefined) {
                fleet.start(name);
            }
        });
    });
}

const between = ({ least, most }: typeof hostRange, random: () => number) =>
    least + Math.floor(random() * (most - least));

When(
    "an emulated fleet goes through random faults with seed {int}",
    { timeout: realTimeLimitMs },
    async function (this: World, seed: number) {
        const random = createSeededRandom(seed);
        const domains = between(domainRange, random);
        const hosts = between(hostRange, random);
        this.fleet = createEmulatedFleet({ hosts, domains, random });
        this.version = 1;
        this.lastFaultEnd = 0;
        this.fleet.platform.accept(createVersion(this.version));
        const kinds = Object.values(FaultKind);
        for (let count = Math.ceil(random() * maxFaults); count > 0; count -= 1) {
            const at = random() * faultsUntilMs;
            const durationMs = random() * maxDurationMs;
            const kind = kinds[Math.floor(random() * kinds.length)] ?? FaultKind.Kill;
            const domain = `domain-${Math.floor(random() * domains)}`;
            this.lastFaultEnd = Math.max(this.lastFaultEnd, at + durationMs + startSpreadMs);
            this.fleet.queue.schedule(at, () => faults[kind]({ world: this, random, durationMs, domain }));
        }
        await this.fleet.runUntil(this.lastFaultEnd);
    },
);

Then(
    "within {int} s of the last fault every host is ready with the newest version and knows all others",
    { timeout: realTimeLimitMs },
    async function (this: World, seconds: number) {
        const { fleet } = this;
        await runUntilHolds(
            fleet,
            this.lastFaultEnd + seconds * 1_000,
            () => findDeviation(this) === undefined,
        ).catch(() => assert.fail(findDeviation(this)));
    },
);

/** Describes a host that is missing, not ready, behind, or unknown to another one. */
function findDeviation({ fleet, version }: World): string | undefined {
    const hosts = fleet.hosts();
    if (hosts.length < fleet.locations.length) {
        return `${hosts.length} of ${fleet.locations.length} hosts run`;
    }
    for (const { board, location, isReady } of hosts) {
        const held = board.read("configuration").held?.manifest.version;
        if (!isReady() || held !== version) {
            return `${location.host} holds ${held} of ${version}: ${board.read("readiness").reason}`;
        }
        const { records } = board.read("membership");
        const unknown = hosts.find(({ location: { host } }) => {
            const record = records.get(host);
            return (
                host !== location.host && (record?.state !== HostState.Alive || record.offers.length === 0)
            );
        });
        if (unknown !== undefined) {
            const { host } = unknown.location;
            return `${location.host} knows ${host} as ${records.get(host)?.state}`;
        }
    }
    return undefined;
}
