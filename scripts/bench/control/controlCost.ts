import {
    applyDelta,
    chooseTopology,
    computeDigest,
    diffManifests,
    emptyHostTable,
    manifestHashOf,
    mergeRecords,
    MessageKind,
    type HostRecord,
    type HostTable,
} from "@tanagertray/core";
import { decodeMessage, encodeFrame } from "@tanagertray/daemon/adapters/peers/codec";
import { toFigure, type Benchmark, type BenchmarkOptions, type Figure } from "../figure.js";
import { createRandom } from "../random.js";
import { createConfiguration, createFleet } from "./fleet.js";
import { processorTime } from "./placement.js";

const sizes = [24, 100, 300, 1_000, 30_000];
const serviceCounts = [4, 40, 400, 1_200];
/** Sizes between which the slopes per host and per service are calculated. */
const slopeSizes = [1_000, 30_000] as const;
const slopeServices = [400, 1_200] as const;
const plannedFleet = { hosts: 30_000, domains: 26, regions: 8 };
const secondsPerDay = 86_400;
/** Records published for one restart: the host left or failed, the host is back, its backend server is serving. */
const recordsPerRestart = 3;
/** Number of restarted, replaced and failed hosts per day at the planned size. */
const restartsPerDay = 2_542;
const versionsPerSecond = 0.21;
/** Links of a host without a special role, over which records and updates arrive and are forwarded. */
const linksPerHost = 6;

/** Measures processor time, bytes and heap of the control functions of one host. */
export const controlCost: Benchmark = {
    summary: "processor time, bytes and heap of the control functions, and slopes per host and service",
    run: async options => [...measureHosts(options), ...measureServices(options)],
};

interface HostSample {
    readonly mergeOneMs: number;
    readonly digestMs: number;
    readonly topologyMs: number;
    readonly recordsMessageMs: number;
    readonly heapBytes: number;
    readonly churnBytesPerSecond: number;
    readonly churnProcessorShare: number;
}

const hostUnits = {
    mergeOneMs: "ms/record",
    digestMs: "ms",
    topologyMs: "ms",
    recordsMessageMs: "ms/record",
    heapBytes: "bytes",
    churnBytesPerSecond: "bytes/host/s",
    churnProcessorShare: "share of a core",
} satisfies Record<keyof HostSample, string>;

function measureHosts(options: BenchmarkOptions): Figure[] {
    const samples = new Map<number, HostSample[]>(sizes.map(size => [size, []]));
    for (let run = 0; run < options.runs; run += 1) {
        const random = createRandom(options.seed * 1_000 + run);
        sizes.forEach(size => samples.get(size)?.push(measureHostCount(size, random)));
    }
    const fields = Object.keys(hostUnits) as (keyof HostSample)[];
    const valuesOf = (size: number, field: keyof HostSample) =>
        (samples.get(size) ?? []).map(sample => sample[field]);
    return fields.flatMap(field => [
        ...sizes.map(size =>
            toFigure({
                ...options,
                name: `control-cost/hosts/${size}/${field}`,
                unit: hostUnits[field],
                values: valuesOf(size, field),
            }),
        ),
        toFigure({
            ...options,
            name: `control-cost/slope/per-host/${field}`,
            unit: `${hostUnits[field]} per host`,
            values: slope(slopeSizes, size => valuesOf(size, field)),
        }),
    ]);
}

function measureHostCount(hosts: number, random: () => number): HostSample {
    const layout = hosts >= 1_000 ? { domains: plannedFleet.domains, regions: plannedFleet.regions } : {};
    const { records } = createFleet({ hosts, random, ...layout });
    const self = records[0] as HostRecord;
    const decoded = records.map(decodeRecord);
    const heapBefore = usedHeap();
    const received = records.map(decodeRecord);
    const table = mergeRecords(emptyHostTable, received, 0).table;
    const heapBytes = usedHeap() - heapBefore;
    const digestMs = processorTime(() => computeDigest(table.records.values()));
    const topologyMs = processorTime(() => chooseTopology(self, table.records.values()));
    let current: HostTable = table;
    let updates = 0;
    const mergeOneMs = processorTime(() => {
        updates += 1;
        const known = decoded[updates % decoded.length] as HostRecord;
        current = mergeRecords(current, [{ ...known, counter: known.counter + updates }], updates).table;
    });
    const frame = encodeFrame({ kind: MessageKind.Records, records: [self] });
    const recordsMessageMs = processorTime(() =>
        decodeMessage(encodeFrame(decodeMessage(frame).unsafeCoerce())),
    );
    const restarts = (restartsPerDay * hosts) / plannedFleet.hosts / secondsPerDay;
    const changes = restarts * recordsPerRestart;
    return {
        mergeOneMs,
        digestMs,
        topologyMs,
        recordsMessageMs,
        heapBytes,
        // A record crosses each link about once, in one direction.
        churnBytesPerSecond: (changes * linksPerHost * frame.length) / 2,
        churnProcessorShare:
            (changes * (mergeOneMs + linksPerHost * recordsMessageMs) + restarts * 2 * topologyMs) / 1_000,
    };
}

/** Returns a record as decoded from a peer's message, which shares no strings with other records. */
function decodeRecord(record: HostRecord): HostRecord {
    const frame = encodeFrame({ kind: MessageKind.Records, records: [record] });
    const message = decodeMessage(frame).unsafeCoerce() as { records: readonly HostRecord[] };
    return message.records[0] as HostRecord;
}

function usedHeap(): number {
    // `gc` exists only with `--expose-gc`; without it, the figure includes garbage.
    globalThis.gc?.();
    return process.memoryUsage().heapUsed;
}

interface ServiceSample {
    readonly manifestBytes: number;
    readonly updateBytes: number;
    readonly manifestHashMs: number;
    readonly applyDeltaMs: number;
    readonly versionsProcessorShare: number;
}

const serviceUnits = {
    manifestBytes: "bytes",
    updateBytes: "bytes",
    manifestHashMs: "ms",
    applyDeltaMs: "ms",
    versionsProcessorShare: "share of a core",
} satisfies Record<keyof ServiceSample, string>;

function measureServices(options: BenchmarkOptions): Figure[] {
    const samples = new Map<number, ServiceSample[]>(serviceCounts.map(count => [count, []]));
    for (let run = 0; run < options.runs; run += 1) {
        serviceCounts.forEach(count => samples.get(count)?.push(measureServiceCount(count)));
    }
    const fields = Object.keys(serviceUnits) as (keyof ServiceSample)[];
    const valuesOf = (count: number, field: keyof ServiceSample) =>
        (samples.get(count) ?? []).map(sample => sample[field]);
    return fields.flatMap(field => [
        ...serviceCounts.map(count =>
            toFigure({
                ...options,
                name: `control-cost/services/${count}/${field}`,
                unit: serviceUnits[field],
                values: valuesOf(count, field),
            }),
        ),
        toFigure({
            ...options,
            name: `control-cost/slope/per-service/${field}`,
            unit: `${serviceUnits[field]} per service`,
            values: slope(slopeServices, count => valuesOf(count, field)),
        }),
    ]);
}

/** Measures the sizes of a manifest and of an update with one change, and the time to hash and apply them. */
function measureServiceCount(services: number): ServiceSample {
    const first = createConfiguration(services, 1);
    const second = createConfiguration(services, 2);
    const delta = diffManifests(first.manifest, second.manifest);
    const hash = manifestHashOf(second.manifest);
    const step = { base: 1, version: 2, manifestHash: hash, delta };
    const parts = Object.values(delta.changed).map(entry => ({
        hash: entry.hash,
        bytes: second.parts.get(entry.hash) as Uint8Array,
    }));
    const applyDeltaMs = processorTime(() => applyDelta(first.manifest, step).unsafeCoerce());
    return {
        manifestBytes: encodeFrame(second.manifest).length,
        updateBytes: encodeFrame({ kind: MessageKind.Update, steps: [step], parts }).length,
        manifestHashMs: processorTime(() => manifestHashOf(first.manifest)),
        applyDeltaMs,
        versionsProcessorShare: (versionsPerSecond * applyDeltaMs) / 1_000,
    };
}

function slope(
    [small, large]: readonly [number, number],
    valuesOf: (size: number) => readonly number[],
): number[] {
    const low = valuesOf(small);
    return valuesOf(large).map((value, run) => (value - (low[run] ?? 0)) / (large - small));
}
