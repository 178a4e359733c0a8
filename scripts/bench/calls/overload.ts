import { createRandom } from "../random.js";
import { percentile, toFigure, type Benchmark, type BenchmarkOptions, type Figure } from "../figure.js";
import { createEventQueue } from "./eventQueue.js";
import type { MeshOptions } from "./localDaemon.js";
import { createMesh } from "./mesh.js";
import { createSimulatedHost, createSimulationBoard, SimulatedEnd, type SimulatedResult } from "./model.js";
import { users, type User } from "./users.js";

const startMs = 1_000_000;
const warmUpMs = 1_000;
const endMs = 5_000;
const serviceMs = 20;
const hostsPerService = 4;
const loadFactors = [0.5, 0.75, 1, 1.25, 1.5, 2, 2.5, 3];

interface Offer {
    readonly partner: string;
    /** Calls per second, as a share of the capacity of a service. */
    readonly load: number;
}

interface Overload {
    readonly user: User;
    readonly seed: number;
    readonly offers: readonly Offer[];
    readonly deadlineMs: number;
    /** Services in a row, each called by the one before. */
    readonly depth: number;
    readonly change?: Partial<MeshOptions>;
    /** Slots of each host of the last service. */
    readonly lastSlots?: number;
}

interface Outcome {
    readonly results: readonly SimulatedResult[];
    /** Attempts that arrived at the last service, for each call that was made. */
    readonly attemptsPerCall: number;
}

const serviceAt = (index: number) => `s${index}`;

function simulate({ user, seed, offers, deadlineMs, depth, change = {}, lastSlots }: Overload): Outcome {
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
    const mesh = createMesh({ board, queue, random, user, serviceMs, nextService, ...change });
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
        // By their end: calls that are still waiting at the end of the run are no loss.
        results: all.filter(({ startedAt, durationMs }) => startedAt + durationMs >= startMs + warmUpMs),
        attemptsPerCall: (board.read("traffic").attempts.get(serviceAt(last)) ?? 0) / Math.max(1, all.length),
    };
}

const isCompleted = ({ end }: SimulatedResult) => end === SimulatedEnd.Completed;
const shareOf = (results: readonly SimulatedResult[], end: SimulatedEnd) =>
    results.filter(result => result.end === end).length / Math.max(1, results.length);
const refusalTimes = (results: readonly SimulatedResult[]) =>
    results.filter(({ end }) => end === SimulatedEnd.Refused).map(({ durationMs }) => durationMs);

const repeat = <T>({ runs, seed }: BenchmarkOptions, run: (seed: number) => T): readonly T[] =>
    Array.from({ length: runs }, (_, index) => run(seed + index));

function goodputFigures(user: User, options: BenchmarkOptions): readonly Figure[] {
    const capacity = (hostsPerService * user.slots * (endMs - warmUpMs)) / serviceMs;
    const base = { user, deadlineMs: 500, depth: 1 };
    const curves = repeat(options, seed =>
        loadFactors.map(load => simulate({ ...base, seed, offers: [{ partner: "p", load }] })),
    );
    const unlimited = repeat(options, seed =>
        loadFactors.map(load =>
            simulate({ ...base, seed, offers: [{ partner: "p", load }], change: { budget: false } }),
        ),
    );
    const goodput = ({ results }: Outcome) => results.filter(isCompleted).length / capacity;
    const worst = (curve: readonly Outcome[]) => {
        const values = curve.map(goodput);
        const peak = Math.max(...values);
        return Math.min(...values.slice(values.indexOf(peak))) / peak;
    };
    const figure = (name: string, unit: string, measure: (curve: readonly Outcome[]) => number) =>
        toFigure({
            name: `overload.${user.name}.${name}`,
            unit,
            values: curves.map(measure),
            baselines: unlimited.map(measure),
            ...options,
        });
    const at = (index: number) => (curve: readonly Outcome[]) => curve[index] as Outcome;
    return [
        figure("leastGoodputAfterPeak", "share of peak", worst),
        ...loadFactors.flatMap((load, index) => [
            figure(`goodput.at${load}`, "share of capacity", curve => goodput(at(index)(curve))),
            figure(`attemptsPerCall.at${load}`, "attempts", curve => at(index)(curve).attemptsPerCall),
            figure(`lost.at${load}`, "share", curve => shareOf(at(index)(curve).results, SimulatedEnd.Lost)),
            figure(`completed.p99.at${load}`, "ms", curve =>
                percentile(
                    at(index)(curve)
                        .results.filter(isCompleted)
                        .map(({ durationMs }) => durationMs),
                    0.99,
                ),
            ),
        ]),
        figure("refusal.p99.at2", "ms", curve =>
            percentile(refusalTimes(at(loadFactors.indexOf(2))(curve).results), 0.99),
        ),
    ];
}

const chainDepth = 11;

/** Chains of 11 calls whose last service gets twice its capacity; the baseline retries at every level. */
function chainFigures(user: User, options: BenchmarkOptions): readonly Figure[] {
    const base = {
        user,
        deadlineMs: 1_000,
        depth: chainDepth,
        offers: [{ partner: "p", load: 2 }],
        lastSlots: 2,
    };
    const product = repeat(options, seed => simulate({ ...base, seed }));
    const everywhere = { budget: false, backendRetries: 2 };
    const baseline = repeat(options, seed => simulate({ ...base, seed, change: everywhere }));
    const figure = (name: string, unit: string, measure: (outcome: Outcome) => number) =>
        toFigure({
            name: `overload.${user.name}.chain.${name}`,
            unit,
            values: product.map(measure),
            baselines: baseline.map(measure),
            ...options,
        });
    const completed = ({ results }: Outcome) => shareOf(results, SimulatedEnd.Completed);
    return [
        figure("attemptsPerCallAtLastService", "attempts", outcome => outcome.attemptsPerCall),
        figure("completed", "share", completed),
    ];
}

/** Jain's index of what each partner gets of what it asks for, up to an equal share. */
function fairness({ results }: Outcome, offers: readonly Offer[], capacity: number): number {
    const equal = capacity / offers.length;
    const given = offers.map(({ partner, load }) => {
        const served = results.filter(result => result.partner === partner && isCompleted(result)).length;
        return Math.min(1, served / Math.min(equal, load * capacity));
    });
    const sum = given.reduce((total, share) => total + share, 0);
    return sum ** 2 / (given.length * given.reduce((total, share) => total + share ** 2, 0));
}

function fairnessFigures(user: User, options: BenchmarkOptions): readonly Figure[] {
    const capacity = (hostsPerService * user.slots * (endMs - warmUpMs)) / serviceMs;
    const offers = [
        { partner: "flooding", load: 2.5 },
        ...["a", "b", "c"].map(partner => ({ partner, load: 0.22 })),
    ];
    const base = { user, deadlineMs: 500, depth: 1, offers };
    const fair = repeat(options, seed => simulate({ ...base, seed }));
    const plain = repeat(options, seed => simulate({ ...base, seed, change: { fairQueue: false } }));
    const others = ({ results }: Outcome) =>
        shareOf(
            results.filter(({ partner }) => partner !== "flooding"),
            SimulatedEnd.Completed,
        );
    const figure = (name: string, unit: string, measure: (outcome: Outcome) => number) =>
        toFigure({
            name: `overload.${user.name}.partners.${name}`,
            unit,
            values: fair.map(measure),
            baselines: plain.map(measure),
            ...options,
        });
    return [
        figure("jainIndex", "index", outcome => fairness(outcome, offers, capacity)),
        figure("othersCompleted", "share", others),
    ];
}

const parts = [goodputFigures, chainFigures, fairnessFigures];

export const overload: Benchmark = {
    summary: "goodput, retries, call chains and fairness at 0.5 to 3 times the capacity",
    run: async options =>
        Object.values(users).flatMap(user => parts.flatMap(measure => measure(user, options))),
};
