import { createRandom } from "../random.js";
import { percentile, toFigure, type Benchmark, type BenchmarkOptions, type Figure } from "../figure.js";
import { createEventQueue } from "./eventQueue.js";
import { createMesh, type Mesh } from "./mesh.js";
import { createSimulatedHost, createSimulationBoard, SimulatedOutcome, type SimulatedHost } from "./model.js";
import { Selector } from "./selectors.js";
import { users, type UserProfile } from "./users.js";

const domains = 6;
const regions = 3;
const hostsPerDomain = 4;
const serviceMs = 40;
const deadlineMs = 2_000;
/** Offered load of all callers, as a share of the capacity of 24 equal servers. */
const offeredLoad = 0.6;
/** Relative load by failure domain. The first domain is offered more than its own capacity. */
const callersByDomain = [2, 1, 1, 1, 0.5, 0.5];

const startMs = 1_000_000;
const warmUpMs = 1_000;
const joinMs = 2_000;
const coldStartMs = 3_000;
const lossMs = 5_000;
/** Time until the membership removes failed hosts, in milliseconds. */
const detectionMs = 6_000;
const endMs = 12_500;
const lostDomain = 3;
const maxReportAgeMs = 5_000;

interface Measures {
    readonly p50: number;
    readonly p99: number;
    readonly refused: number;
    readonly lost: number;
    readonly regionBytesPerCall: number;
}

const faultyHosts = {
    slow: "d1-0",
    zeroLoadReports: "d2-1",
    cold: "d4-0",
} as const;

function createHosts(user: UserProfile, random: () => number): readonly SimulatedHost[] {
    return Array.from({ length: domains * hostsPerDomain }, (_, index) => {
        const domain = Math.floor(index / hostsPerDomain);
        const host = `d${domain}-${index % hostsPerDomain}`;
        const startedAt = host === faultyHosts.cold ? startMs + joinMs : 0;
        const warmUpShare = (now: number) => Math.min(1, (now - startedAt) / coldStartMs);
        return createSimulatedHost({
            location: { host, failureDomain: `d${domain}`, region: `r${domain % regions}` },
            service: "s",
            slots: user.slots,
            connections: user.connections,
            coldStartMs,
            startedAt,
            serviceTimeFactor: host === faultyHosts.slow ? () => 10 : now => 3 - 2 * warmUpShare(now),
            reportAgeMs: random() * maxReportAgeMs,
            reportsZeroLoad: host === faultyHosts.zeroLoadReports,
        });
    });
}

function simulate(user: UserProfile, selector: Selector, seed: number): Measures {
    const random = createRandom(seed);
    const board = createSimulationBoard();
    const hosts = createHosts(user, random);
    board.claimValue("hosts").write(hosts);
    const queue = createEventQueue(startMs);
    const mesh = createMesh({ board, queue, random, user, serviceMs, selector });
    const isCold = (host: SimulatedHost) => host.location.host === faultyHosts.cold;
    const isLost = (host: SimulatedHost) => host.location.failureDomain === `d${lostDomain}`;
    mesh.publish(host => !isCold(host));
    queue.schedule(joinMs, () => mesh.publish(() => true));
    queue.schedule(lossMs, () => hosts.filter(isLost).forEach(host => (host.isUp = false)));
    queue.schedule(lossMs + detectionMs, () => mesh.publish(host => !isLost(host)));
    startCallers({ mesh, hosts, user, random, queue });
    queue.runUntil(startMs + endMs);
    const results = board.read("results").filter(({ startedAt }) => startedAt >= startMs + warmUpMs);
    const times = results
        .filter(({ outcome }) => outcome === SimulatedOutcome.Completed)
        .map(r => r.durationMs);
    const share = (outcome: SimulatedOutcome) =>
        results.filter(result => result.outcome === outcome).length / results.length;
    return {
        p50: percentile(times, 0.5),
        p99: percentile(times, 0.99),
        refused: share(SimulatedOutcome.Refused),
        lost: share(SimulatedOutcome.Lost),
        regionBytesPerCall: board.read("traffic").regionBytes / board.read("results").length,
    };
}

interface CallersOptions {
    readonly mesh: Mesh;
    readonly hosts: readonly SimulatedHost[];
    readonly user: UserProfile;
    readonly random: () => number;
    readonly queue: ReturnType<typeof createEventQueue>;
}

/** Starts Poisson arrivals. Callers in a lost domain use the daemons of the next domain. */
function startCallers({ mesh, hosts, user, random, queue }: CallersOptions): void {
    const callsPerSecond = (offeredLoad * hosts.length * user.slots * 1_000) / serviceMs;
    const totalWeight = callersByDomain.reduce((sum, weight) => sum + weight, 0);
    callersByDomain.forEach((weight, domain) => {
        const meanMs = 1_000 / ((callsPerSecond * weight) / totalWeight);
        const arrive = (): void => {
            const hostsNear = (offset: number) =>
                hosts.filter(h => h.isUp && h.location.failureDomain === `d${(domain + offset) % domains}`);
            const entries = hostsNear(0).length > 0 ? hostsNear(0) : hostsNear(1);
            const entry = entries[Math.floor(random() * entries.length)] as SimulatedHost;
            mesh.call({ entry, service: "s", partner: "p", deadline: queue.now() + deadlineMs });
            queue.schedule(-Math.log(1 - random()) * meanMs, arrive);
        };
        queue.schedule(-Math.log(1 - random()) * meanMs, arrive);
    });
}

const units: Readonly<Record<keyof Measures, string>> = {
    p50: "ms",
    p99: "ms",
    refused: "share",
    lost: "share",
    regionBytesPerCall: "bytes",
};
const baselines = [Selector.Random, Selector.RoundRobin, Selector.LeastConnections];

function measureUser(user: UserProfile, { seed, runs }: BenchmarkOptions): readonly Figure[] {
    const measure = (selector: Selector) =>
        Array.from({ length: runs }, (_, run) => simulate(user, selector, seed + run));
    const product = measure(Selector.Product);
    return baselines.flatMap(selector => {
        const baseline = measure(selector);
        return (Object.keys(units) as (keyof Measures)[]).map(key =>
            toFigure({
                name: `selection.${user.name}.${key}.vs.${selector}`,
                unit: units[key],
                values: product.map(measures => measures[key]),
                baselines: baseline.map(measures => measures[key]),
                seed,
                runs,
            }),
        );
    });
}

export const selection: Benchmark = {
    summary: "choice of the backend server against random, round robin and least connections",
    run: async options => Object.values(users).flatMap(user => measureUser(user, options)),
};
