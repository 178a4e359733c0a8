import { createRandom } from "../random.js";
import { percentile, toFigure, type Benchmark, type BenchmarkOptions, type Figure } from "../figure.js";
import { createEventQueue } from "./eventQueue.js";
import type { MeshOptions } from "./localDaemon.js";
import { createMesh } from "./mesh.js";
import {
    createSimulatedHost,
    createSimulationBoard,
    SimulatedOutcome,
    type SimulatedResult,
} from "./model.js";
import { users, type UserProfile } from "./users.js";

const startMs = 1_000_000;
const warmUpMs = 1_000;
const endMs = 5_000;
const serviceMs = 20;
const hostsPerService = 4;
const loadFactors = [0.5, 0.75, 1, 1.25, 1.5, 2, 2.5, 3];

interface OfferedLoad {
    readonly partner: string;
    /** Calls per second, as a share of the capacity of a service. */
    readonly load: number;
}

interface OverloadOptions {
    readonly user: UserProfile;
    readonly seed: number;
    readonly offers: readonly OfferedLoad[];
    readonly deadlineMs: number;
    /** Length of the call chain: each service calls the next. */
    readonly depth: number;
    readonly meshOptions?: Partial<MeshOptions>;
    /** Slots of each host of the last service. */
    readonly lastSlots?: number;
}

interface OverloadResult {
    readonly results: readonly SimulatedResult[];
    /** Attempts that arrived at the last service, per call. */
    readonly attemptsPerCall: number;
}

const serviceAt = (index: number) => `s${index}`;

function simulate({
    user,
    seed,
    offers,
    deadlineMs,
    depth,
    meshOptions = {},
    lastSlots,
}: OverloadOptions): OverloadResult {
    const random = createRandom(seed);
    const board = createSimulationBoard();
    const queue = createEventQueue(startMs);
    const last = depth - 1;
    const slots = lastSlots ?? user.slots;
    const hosts = Array.from({ length: depth * hostsPerService }, (_, index) => {
        const service = Math.floor(index / hostsPerService);
        return createSimulatedHost({
            location: { host: `h${index}`, failureDomain: "d", region: "r" },
            service: serviceAt(service),
            slots: service === last ? slots : user.slots * depth,
            connections: user.connections * depth,
        });
    });
    board.claimValue("hosts").write(hosts);
    const nextService = (service: string) => {
        const index = Number(service.slice(1));
        return index < last ? serviceAt(index + 1) : undefined;
    };
    const mesh = createMesh({ board, queue, random, user, serviceMs, nextService, ...meshOptions });
    mesh.publish(() => true);
    const capacity = (hostsPerService * slots * 1_000) / serviceMs;
    offers.forEach(({ partner, load }) => {
        const arrive = (): void => {
            const entry = hosts[Math.floor(random() * hostsPerService)];
            if (entry !== undefined) {
                mesh.call({ entry, service: serviceAt(0), partner, deadline: queue.now() + deadlineMs });
            }
            queue.schedule((-Math.log(1 - random()) * 1_000) / (capacity * load), arrive);
        };
        queue.schedule(0, arrive);
    });
    queue.runUntil(startMs + endMs);
    const all = board.read("results");
    return {
        // Selected by end time: calls that are still waiting at the end of the run do not count as lost.
        results: all.filter(({ startedAt, durationMs }) => startedAt + durationMs >= startMs + warmUpMs),
        attemptsPerCall: (board.read("traffic").attempts.get(serviceAt(last)) ?? 0) / Math.max(1, all.length),
    };
}

const isCompleted = ({ outcome }: SimulatedResult) => outcome === SimulatedOutcome.Completed;
const shareOf = (results: readonly SimulatedResult[], outcome: SimulatedOutcome) =>
    results.filter(result => result.outcome === outcome).length / Math.max(1, results.length);
const refusalTimes = (results: readonly SimulatedResult[]) =>
    results.filter(({ outcome }) => outcome === SimulatedOutcome.Refused).map(({ durationMs }) => durationMs);

const runSeeds = <T>({ runs, seed }: BenchmarkOptions, run: (seed: number) => T): readonly T[] =>
    Array.from({ length: runs }, (_, index) => run(seed + index));

function goodputFigures(user: UserProfile, options: BenchmarkOptions): readonly Figure[] {
    const capacity = (hostsPerService * user.slots * (endMs - warmUpMs)) / serviceMs;
    const base = { user, deadlineMs: 500, depth: 1 };
    const curves = runSeeds(options, seed =>
        loadFactors.map(load => simulate({ ...base, seed, offers: [{ partner: "p", load }] })),
    );
    const unlimited = runSeeds(options, seed =>
        loadFactors.map(load =>
            simulate({
                ...base,
                seed,
                offers: [{ partner: "p", load }],
                meshOptions: { usesRetryBudget: false },
            }),
        ),
    );
    const goodput = ({ results }: OverloadResult) => results.filter(isCompleted).length / capacity;
    const leastAfterPeak = (curve: readonly OverloadResult[]) => {
        const values = curve.map(goodput);
        const peak = Math.max(...values);
        return Math.min(...values.slice(values.indexOf(peak))) / peak;
    };
    const figure = (name: string, unit: string, measure: (curve: readonly OverloadResult[]) => number) =>
        toFigure({
            name: `overload.${user.name}.${name}`,
            unit,
            values: curves.map(measure),
            baselines: unlimited.map(measure),
            ...options,
        });
    const atLoad = (index: number) => (curve: readonly OverloadResult[]) => curve[index] as OverloadResult;
    return [
        figure("leastGoodputAfterPeak", "share of peak", leastAfterPeak),
        ...loadFactors.flatMap((load, index) => [
            figure(`goodput.at${load}`, "share of capacity", curve => goodput(atLoad(index)(curve))),
            figure(`attemptsPerCall.at${load}`, "attempts", curve => atLoad(index)(curve).attemptsPerCall),
            figure(`lost.at${load}`, "share", curve =>
                shareOf(atLoad(index)(curve).results, SimulatedOutcome.Lost),
            ),
            figure(`completed.p99.at${load}`, "ms", curve =>
                percentile(
                    atLoad(index)(curve)
                        .results.filter(isCompleted)
                        .map(({ durationMs }) => durationMs),
                    0.99,
                ),
            ),
        ]),
        figure("refusal.p99.at2", "ms", curve =>
            percentile(refusalTimes(atLoad(loadFactors.indexOf(2))(curve).results), 0.99),
        ),
    ];
}

const chainDepth = 11;

/** Measures chains of 11 calls with the last service at twice its capacity. The baseline retries at every level. */
function chainFigures(user: UserProfile, options: BenchmarkOptions): readonly Figure[] {
    const base = {
        user,
        deadlineMs: 1_000,
        depth: chainDepth,
        offers: [{ partner: "p", load: 2 }],
        lastSlots: 2,
    };
    const product = runSeeds(options, seed => simulate({ ...base, seed }));
    const retryAtEveryLevel = { usesRetryBudget: false, backendRetries: 2 };
    const baseline = runSeeds(options, seed => simulate({ ...base, seed, meshOptions: retryAtEveryLevel }));
    const figure = (name: string, unit: string, measure: (outcome: OverloadResult) => number) =>
        toFigure({
            name: `overload.${user.name}.chain.${name}`,
            unit,
            values: product.map(measure),
            baselines: baseline.map(measure),
            ...options,
        });
    const completed = ({ results }: OverloadResult) => shareOf(results, SimulatedOutcome.Completed);
    return [
        figure("attemptsPerCallAtLastService", "attempts", outcome => outcome.attemptsPerCall),
        figure("completed", "share", completed),
    ];
}

/** Returns Jain's fairness index of the served shares. A partner's demand counts up to an equal share of the capacity. */
function fairness({ results }: OverloadResult, offers: readonly OfferedLoad[], capacity: number): number {
    const equalShare = capacity / offers.length;
    const shares = offers.map(({ partner, load }) => {
        const served = results.filter(result => result.partner === partner && isCompleted(result)).length;
        return Math.min(1, served / Math.min(equalShare, load * capacity));
    });
    const sum = shares.reduce((total, share) => total + share, 0);
    return sum ** 2 / (shares.length * shares.reduce((total, share) => total + share ** 2, 0));
}

function fairnessFigures(user: UserProfile, options: BenchmarkOptions): readonly Figure[] {
    const capacity = (hostsPerService * user.slots * (endMs - warmUpMs)) / serviceMs;
    const offers = [
        { partner: "flooding", load: 2.5 },
        ...["a", "b", "c"].map(partner => ({ partner, load: 0.22 })),
    ];
    const base = { user, deadlineMs: 500, depth: 1, offers };
    const fairQueue = runSeeds(options, seed => simulate({ ...base, seed }));
    const singleQueue = runSeeds(options, seed =>
        simulate({ ...base, seed, meshOptions: { fairQueue: false } }),
    );
    const others = ({ results }: OverloadResult) =>
        shareOf(
            results.filter(({ partner }) => partner !== "flooding"),
            SimulatedOutcome.Completed,
        );
    const figure = (name: string, unit: string, measure: (outcome: OverloadResult) => number) =>
        toFigure({
            name: `overload.${user.name}.partners.${name}`,
            unit,
            values: fairQueue.map(measure),
            baselines: singleQueue.map(measure),
            ...options,
        });
    return [
        figure("jainIndex", "index", outcome => fairness(outcome, offers, capacity)),
        figure("othersCompleted", "share", others),
    ];
}

const figureGroups = [goodputFigures, chainFigures, fairnessFigures];

export const overload: Benchmark = {
    summary: "goodput, retries, call chains and fairness at 0.5 to 3 times the capacity",
    run: async options =>
        Object.values(users).flatMap(user => figureGroups.flatMap(measure => measure(user, options))),
};
