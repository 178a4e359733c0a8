import { manifestHashOf, MessageKind, Spread, type HostRecord } from "@tanagertray/core";
import { encodeFrame } from "@tanagertray/daemon/adapters/peers/codec";
import { percentile, toFigure, type Benchmark, type BenchmarkOptions, type Figure } from "../figure.js";
import { createRandom } from "../random.js";
import { createConfiguration, createFleet, linkFleet, type Fleet } from "./fleet.js";
import { createNetwork, emptyReadBytes, platformRegion, profiles, type NetworkProfile } from "./network.js";
import { runSpread } from "./spreadRun.js";

const sizes = [24, 100, 300, 1_000];
const headReadMs = 1_000;

interface Sample {
    readonly p50: number;
    readonly p99: number;
    readonly last: number;
    readonly bytesPerHost: number;
    readonly regionBytes: number;
    readonly updatesPerHost: number;
    readonly steadyBytesPerHostSecond: number;
    readonly steadyRegionBytesPerSecond: number;
}

const units = {
    p50: "ms",
    p99: "ms",
    last: "ms",
    bytesPerHost: "bytes/host",
    regionBytes: "bytes",
    updatesPerHost: "updates/host",
    steadyBytesPerHostSecond: "bytes/host/s",
    steadyRegionBytesPerSecond: "bytes/s",
} satisfies Record<keyof Sample, string>;

/** Time and bytes of one change of one service, for both users and both values of the setting `spread`. */
export const convergence: Benchmark = {
    summary: "time and bytes of one change; baselines: broadcast of snapshots, polling by every host",
    run: async options => sizes.flatMap(hosts => measureSize(hosts, options)),
};

function measureSize(hosts: number, options: BenchmarkOptions): Figure[] {
    const samples = new Map<string, { ours: Sample[]; broadcast: Sample[]; polling: Sample[] }>();
    for (let run = 0; run < options.runs; run += 1) {
        const seed = options.seed * 1_000 + run;
        const fleet = createFleet({ hosts, random: createRandom(seed) });
        const topology = linkFleet(fleet.records);
        const before = createConfiguration(fleet.services, 1);
        const after = createConfiguration(fleet.services, 2);
        for (const [user, profile] of Object.entries(profiles)) {
            for (const spread of Object.values(Spread)) {
                const key = `convergence/${user}/${spread}/${hosts}`;
                const all = samples.get(key) ?? { ours: [], broadcast: [], polling: [] };
                samples.set(key, all);
                const random = createRandom(seed + 7);
                const common = { fleet, profile, random };
                const result = runSpread({ ...common, topology, spread, before, after });
                all.ours.push({
                    ...summarize(result.times),
                    bytesPerHost: result.changeBytes / hosts,
                    regionBytes: result.changeRegionBytes,
                    updatesPerHost: result.updates / hosts,
                    steadyBytesPerHostSecond: result.steadyBytesPerSecond / hosts,
                    steadyRegionBytesPerSecond: result.steadyRegionBytesPerSecond,
                });
                all.broadcast.push(broadcast({ ...common, after }));
                all.polling.push(poll({ ...common, after }));
            }
        }
    }
    return [...samples].flatMap(([key, { ours, broadcast: sent, polling }]) =>
        (Object.keys(units) as (keyof Sample)[]).flatMap(field => {
            const pick = (list: Sample[]) => list.map(sample => sample[field]);
            const common = { ...options, unit: units[field], values: pick(ours) };
            return [
                toFigure({ ...common, name: `${key}/${field}/vs-broadcast`, baselines: pick(sent) }),
                toFigure({ ...common, name: `${key}/${field}/vs-polling`, baselines: pick(polling) }),
            ];
        }),
    );
}

function summarize(times: readonly number[]): Pick<Sample, "p50" | "p99" | "last"> {
    return { p50: percentile(times, 0.5), p99: percentile(times, 0.99), last: Math.max(...times) };
}

interface BaselineOptions {
    readonly fleet: Fleet;
    readonly profile: NetworkProfile;
    readonly random: () => number;
    readonly after: ReturnType<typeof createConfiguration>;
}

/** The host that accepted sends the whole snapshot to every host over links that are already open. */
function broadcast({ fleet, profile, random, after }: BaselineOptions): Sample {
    const { records } = fleet;
    const network = createNetwork(profile, random);
    const parts = [...after.parts].map(([hash, bytes]) => ({ hash, bytes }));
    const manifestHash = manifestHashOf(after.manifest);
    const message = { kind: MessageKind.Snapshot, manifest: after.manifest, manifestHash, parts };
    const size = encodeFrame(message).length;
    const from = records[Math.floor(random() * records.length)] as HostRecord;
    const times = records.map(to => (to === from ? 0 : network.arrival(from, to, size, 0)));
    return {
        ...summarize(times),
        bytesPerHost: network.bytes() / records.length,
        regionBytes: network.regionBytes(),
        updatesPerHost: 1,
        steadyBytesPerHostSecond: 0,
        steadyRegionBytesPerSecond: 0,
    };
}

/** Every host reads the head row each second, then the manifest and the changed part. */
function poll({ fleet, profile, random, after }: BaselineOptions): Sample {
    const { records } = fleet;
    const network = createNetwork(profile, random);
    const roundTrips = 3;
    const times = records.map(record => random() * headReadMs + roundTrips * network.platformMs(record));
    const changed = [...after.parts.values()][0]?.length ?? 0;
    const manifestBytes = encodeFrame(after.manifest).length;
    const bytes = (roundTrips - 1) * emptyReadBytes + manifestBytes + changed;
    const remote = records.filter(record => record.region !== platformRegion).length;
    return {
        ...summarize(times),
        bytesPerHost: bytes,
        regionBytes: bytes * remote,
        updatesPerHost: 1,
        steadyBytesPerHostSecond: (emptyReadBytes * 1_000) / headReadMs,
        steadyRegionBytesPerSecond: (emptyReadBytes * remote * 1_000) / headReadMs,
    };
}
