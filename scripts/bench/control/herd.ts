import {
    advanceDistribution,
    canonicalBytes,
    createDistribution,
    heldVersion,
    InputKind,
    manifestHashOf,
    MessageKind,
    Spread,
    type Distribution,
    type DistributionInput,
    type HostRecord,
    type PeerMessage,
} from "@tanagertray/core";
import { decodeMessage, encodeFrame } from "@tanagertray/daemon/adapters/peers/codec";
import { toFigure, type Benchmark, type BenchmarkOptions, type Figure } from "../figure.js";
import { createRandom } from "../random.js";
import { createEventQueue } from "./eventQueue.js";
import { createConfiguration, createFleet, holdConfiguration, interestOf, linkFleet } from "./fleet.js";
import { createNetwork, profiles } from "./network.js";

/** Hosts of the failure domain that restarts. */
const sizes = [24, 200, 1_000];
/** The platform's limit of about 2,000 reads a second, as the time that one read occupies it. */
const platformReadMs = 0.5;
/** Deadline of a read in the platform adapter; a later answer counts as lost. */
const readDeadlineMs = 2_000;
/** Periods of the head reading and domain row controllers and of the peer adapter, in milliseconds. */
const headReadMs = 1_000;
const longestRetryMs = 5_000;
const joinJitterMs = 1_000;
const tickMs = 100;
/** Processes of one domain start within this time; assumed. */
const startSpreadMs = 200;
/** Virtual time for which the herd is followed after the platform answers. */
const limitMs = 30_000;
const outageMs = 30_000;

interface Sample {
    readonly peakReads: number;
    readonly objectReads: number;
    /** Time until all hosts hold the version, or the end of the run when `heldShare` is below 1. */
    readonly allHeldMs: number;
    readonly heldShare: number;
    readonly peakSnapshots: number;
}

const units = {
    peakReads: "reads/s",
    objectReads: "reads",
    allHeldMs: "ms",
    heldShare: "share of hosts",
    peakSnapshots: "snapshots at a time by one host",
} satisfies Record<keyof Sample, string>;

/** Time at which the platform begins to answer. */
const scenarios = { "domain-restart": 0, "outage-return": outageMs } as const;

/** A failure domain restarts at once while another domain of its region keeps running. */
export const herd: Benchmark = {
    summary: "reads of the platform and snapshots when a domain restarts and when the platform returns",
    run: async options =>
        sizes.flatMap(size =>
            Object.entries(scenarios).flatMap(([name, platformFrom]) =>
                measure(name, size, platformFrom, options),
            ),
        ),
};

function measure(scenario: string, size: number, platformFrom: number, options: BenchmarkOptions): Figure[] {
    const samples: Sample[] = [];
    const baselines: Sample[] = [];
    for (let run = 0; run < options.runs; run += 1) {
        const random = createRandom(options.seed * 1_000 + run);
        samples.push(runHerd(size, platformFrom, random));
        baselines.push(withoutRoles(size));
    }
    return (Object.keys(units) as (keyof Sample)[]).map(field =>
        toFigure({
            ...options,
            name: `herd/${scenario}/${size}/${field}`,
            unit: units[field],
            values: samples.map(sample => sample[field]),
            baselines: baselines.map(sample => sample[field]),
        }),
    );
}

interface Starter {
    readonly record: HostRecord;
    readonly restarts: boolean;
    readonly startsAt: number;
    state: Distribution;
    headRead: boolean;
    failures: number;
}

function runHerd(size: number, platformFrom: number, random: () => number): Sample {
    const fleet = createFleet({ hosts: 2 * size, random, domains: 2, regions: 1 });
    const { links, headReaders } = linkFleet(fleet.records);
    const readers = new Set(headReaders);
    const version = createConfiguration(fleet.services, 1);
    const manifestHash = manifestHashOf(version.manifest);
    const head = { version: 1, manifestHash };
    const objects = new Map([...version.parts, [manifestHash, canonicalBytes(version.manifest)] as const]);
    const queue = createEventQueue();
    const network = createNetwork(profiles.azraq, random);
    const frames = new WeakMap<PeerMessage, Uint8Array>();
    const readsAt: number[] = [];
    let platformFreeAt = 0;
    let objectReads = 0;
    let peakSnapshots = 0;
    let allHeldAt = Infinity;

    const hosts = new Map(
        fleet.records.map(record => {
            const restarts = record.failureDomain === "domain-0";
            const interest = interestOf(record);
            const state = createDistribution({
                spread: Spread.Eager,
                region: record.region,
                interest,
                ...(restarts ? {} : { held: holdConfiguration(version, interest, manifestHash) }),
            });
            const startsAt = restarts ? random() * startSpreadMs : 0;
            const host: Starter = { record, restarts, startsAt, state, headRead: !restarts, failures: 0 };
            return [record.host, host];
        }),
    );
    const restarting = [...hosts.values()].filter(host => host.restarts);
    let missing = restarting.length;

    function take(host: Starter, input: DistributionInput): void {
        const before = heldVersion(host.state);
        const { state, effects } = advanceDistribution(host.state, input, { now: queue.now(), random });
        host.state = state;
        peakSnapshots = Math.max(peakSnapshots, state.snapshotsInProgress.size);
        if (before === 0 && heldVersion(state) > 0) {
            missing -= 1;
            allHeldAt = missing === 0 ? queue.now() : allHeldAt;
        }
        for (const { to, message } of effects.messages) {
            const names = "host" in to ? [to.host] : [...state.links.keys()];
            names.forEach(name => send(host, hosts.get(name) as Starter, message));
        }
        for (const hash of effects.reads) {
            objectReads += 1;
            readPlatform(host, served => {
                const bytes = served ? objects.get(hash) : undefined;
                take(host, { kind: InputKind.StoredObject, hash, ...(bytes === undefined ? {} : { bytes }) });
            });
        }
    }

    function send(from: Starter, to: Starter, message: PeerMessage): void {
        const frame = frames.get(message) ?? encodeFrame(message);
        frames.set(message, frame);
        queue.schedule(network.arrival(from.record, to.record, frame.length, queue.now()), () => {
            const decoded = decodeMessage(frame).unsafeCoerce();
            const incoming = { from: from.record.host, receivedAt: queue.now(), message: decoded };
            take(to, { kind: InputKind.Message, incoming });
        });
    }

    /** Reads wait in one queue of the platform, which serves a bounded number of them a second. */
    function readPlatform(host: Starter, answer: (served: boolean) => void): void {
        const now = queue.now();
        if (now < platformFrom) {
            queue.schedule(now + readDeadlineMs, () => answer(false));
            return;
        }
        readsAt.push(now);
        platformFreeAt = Math.max(now, platformFreeAt) + platformReadMs;
        const waits = platformFreeAt - now + network.platformMs(host.record);
        queue.schedule(now + Math.min(waits, readDeadlineMs), () => answer(waits < readDeadlineMs));
    }

    /** Follows the head reading controller: all hosts read until the first answer, then the head readers. */
    function readHead(host: Starter): void {
        if (host.headRead && !readers.has(host.record.host)) {
            return;
        }
        readPlatform(host, served => {
            host.failures = served ? 0 : host.failures + 1;
            const backoff = Math.min(longestRetryMs, headReadMs * 2 ** Math.max(0, host.failures - 1));
            const delay = served ? headReadMs : backoff * (0.5 + random() / 2);
            if (served) {
                host.headRead = true;
                take(host, { kind: InputKind.Head, head });
            }
            queue.schedule(queue.now() + delay, () => readHead(host));
        });
    }

    function openLink(a: Starter, b: Starter): void {
        for (const [self, other] of [
            [a, b],
            [b, a],
        ] as const) {
            const { host, region } = other.record;
            const open = new Map(self.state.links).set(host, { host, region });
            take(self, { kind: InputKind.Links, links: open });
            if (heldVersion(self.state) > 0) {
                send(self, other, { kind: MessageKind.Heartbeat, version: 1, manifestHash });
            }
        }
    }

    function tick(host: Starter): void {
        take(host, { kind: InputKind.Tick });
        queue.schedule(queue.now() + tickMs, () => tick(host));
    }

    for (const host of restarting) {
        queue.schedule(host.startsAt + random() * tickMs, () => {
            readHead(host);
            tick(host);
        });
        // The row of the domain, for the first links.
        queue.schedule(host.startsAt + random() * joinJitterMs, () => readPlatform(host, () => undefined));
        for (const name of links.get(host.record.host) ?? []) {
            const other = hosts.get(name) as Starter;
            if (!other.restarts || host.record.host < name) {
                const from = Math.max(host.startsAt, other.startsAt);
                queue.schedule(from + random() * joinJitterMs, () => openLink(host, other));
            }
        }
    }
    const end = platformFrom + limitMs;
    queue.run(end, () => queue.now() > Math.max(allHeldAt, platformFrom + headReadMs) + headReadMs);
    return {
        peakReads: peakPerSecond(readsAt),
        objectReads,
        allHeldMs: Math.min(allHeldAt, end),
        heldShare: 1 - missing / size,
        peakSnapshots,
    };
}

function peakPerSecond(times: readonly number[]): number {
    const sorted = [...times].sort((a, b) => a - b);
    let first = 0;
    let peak = 0;
    sorted.forEach((at, index) => {
        while ((sorted[first] ?? at) <= at - 1_000) {
            first += 1;
        }
        peak = Math.max(peak, index - first + 1);
    });
    return peak;
}

/** Every host reads head, row, manifest and parts from the platform as soon as it starts. */
function withoutRoles(size: number): Sample {
    const fleet = createFleet({ hosts: 2 * size, random: createRandom(1), domains: 2, regions: 1 });
    const version = createConfiguration(fleet.services, 1);
    const reads = fleet.records
        .filter(record => record.failureDomain === "domain-0")
        .map(record => holdConfiguration(version, interestOf(record)).parts.size + 1);
    const objectReads = reads.reduce((sum, count) => sum + count, 0);
    const all = objectReads + 2 * size;
    return { peakReads: all, objectReads, allHeldMs: all * platformReadMs, heldShare: 1, peakSnapshots: 0 };
}
