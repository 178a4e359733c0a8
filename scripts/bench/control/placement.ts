import { hash32, relaysPerGroup, rendezvousHash } from "@tanagertray/core";
import { toFigure, type Benchmark, type BenchmarkOptions, type Figure } from "../figure.js";
import { createRandom } from "../random.js";

const sizes = [24, 1_000, 30_000];
const domains = 26;
/** Number of failure domains in a fleet of fewer than 100 hosts. */
const smallFleetDomains = 6;
/** Number of keys whose placement is counted. */
const keyCount = 2_000;
const virtualNodes = 64;
const blockCount = 1_024;

type ChooseHosts = (key: string) => readonly string[];

/** Builds the state of each placement from the hosts. The result chooses `relaysPerGroup` hosts for a key. */
const placements = {
    rendezvous:
        (hosts: readonly string[]): ChooseHosts =>
        key =>
            rendezvousHash(key, hosts, relaysPerGroup),
    ring: (hosts: readonly string[]): ChooseHosts => {
        const nodes = hosts.flatMap(host =>
            Array.from({ length: virtualNodes }, (_, index) => ({ host, at: hash32(`${host}#${index}`) })),
        );
        nodes.sort((a, b) => a.at - b.at);
        return key => findSuccessors(nodes, hash32(key));
    },
    blocks: (hosts: readonly string[]): ChooseHosts => {
        const nodes = hosts.map(host => ({ host, at: hash32(host) })).sort((a, b) => a.at - b.at);
        const owners = Array.from({ length: blockCount }, (_, block) =>
            findSuccessors(nodes, Math.floor((block * 0x1_0000_0000) / blockCount)),
        );
        return key => owners[hash32(key) % blockCount] ?? [];
    },
} satisfies Record<string, (hosts: readonly string[]) => ChooseHosts>;

/** Returns the first distinct hosts at or after a position on the ring. */
function findSuccessors(nodes: readonly { host: string; at: number }[], position: number): string[] {
    let low = 0;
    let high = nodes.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if ((nodes[middle]?.at ?? 0) < position) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    const chosen = new Set<string>();
    for (let step = 0; step < nodes.length && chosen.size < relaysPerGroup; step += 1) {
        chosen.add(nodes[(low + step) % nodes.length]?.host ?? "");
    }
    return [...chosen];
}

interface Sample {
    /** Number of roles of the most loaded host, relative to the mean. */
    readonly balance: number;
    /** Share of roles that moved away from a remaining host when one host was removed. */
    readonly needlessMoves: number;
    /** Processor time to process a membership change and choose the readers once, in milliseconds. */
    readonly processorMs: number;
}

const units = { balance: "max/mean", needlessMoves: "share", processorMs: "ms" } satisfies Record<
    keyof Sample,
    string
>;

/** Compares placements of the head readers of a failure domain. */
export const placement: Benchmark = {
    summary: "rendezvous hashing against a ring with virtual nodes and one with block partitioning",
    run: async options => sizes.flatMap(hosts => measureSize(hosts, options)),
};

function measureSize(hosts: number, options: BenchmarkOptions): Figure[] {
    const members = Math.ceil(hosts / (hosts < 100 ? smallFleetDomains : domains));
    const samples: Record<keyof typeof placements, Sample[]> = { rendezvous: [], ring: [], blocks: [] };
    for (let run = 0; run < options.runs; run += 1) {
        const random = createRandom(options.seed * 1_000 + run);
        const names = Array.from({ length: members }, (_, at) => `host-${at}-${Math.floor(random() * 1e9)}`);
        for (const kind of Object.keys(placements) as (keyof typeof placements)[]) {
            samples[kind].push(measure(placements[kind], names));
        }
    }
    return (["ring", "blocks"] as const).flatMap(baseline =>
        (Object.keys(units) as (keyof Sample)[]).map(field =>
            toFigure({
                ...options,
                name: `placement/${hosts}/${field}/vs-${baseline}`,
                unit: units[field],
                values: samples.rendezvous.map(sample => sample[field]),
                baselines: samples[baseline].map(sample => sample[field]),
            }),
        ),
    );
}

function measure(build: (hosts: readonly string[]) => ChooseHosts, hosts: readonly string[]): Sample {
    const names = Array.from({ length: keyCount }, (_, index) => `head/domain-${index}`);
    const choose = build(hosts);
    const removedHost = hosts[0] as string;
    const chooseAfter = build(hosts.slice(1));
    const roles = new Map<string, number>();
    let moved = 0;
    for (const key of names) {
        const before = choose(key);
        before.forEach(host => roles.set(host, (roles.get(host) ?? 0) + 1));
        const after = chooseAfter(key);
        moved += before.filter(host => host !== removedHost && !after.includes(host)).length;
    }
    const mean = (keyCount * relaysPerGroup) / hosts.length;
    return {
        balance: Math.max(...roles.values()) / mean,
        needlessMoves: moved / (keyCount * relaysPerGroup),
        processorMs: processorTime(() => build(hosts)("head/own")),
    };
}

/** Returns the mean processor time of one call of `run`, measured over at least 50 ms, in milliseconds. */
export function processorTime(run: () => unknown): number {
    run();
    const start = process.cpuUsage();
    for (let calls = 1; ; calls += 1) {
        run();
        const { user, system } = process.cpuUsage(start);
        if (user + system >= 50_000) {
            return (user + system) / 1_000 / calls;
        }
    }
}
