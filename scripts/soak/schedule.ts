import { createRandom } from "../bench/random.js";
import { FaultKind, faultPlans, Reach, type Fault, type FaultPlan } from "./faults.js";
import type { ResolvedSoakOptions } from "./options.js";

export interface Schedule {
    readonly seed: number;
    /** Numbers of the hosts whose connections pass relays. The others are reached directly. */
    readonly relayed: readonly number[];
    readonly faults: readonly Fault[];
    readonly capacity: Capacity;
}

/** What each backend server can take. */
export interface Capacity {
    readonly slots: number;
    /** Work of a call, in milliseconds. */
    readonly workMs: number;
}

/** Far above the load of the clients, and below it, so that calls wait and are refused. */
const capacities: readonly Capacity[] = [
    { slots: 12, workMs: 25 },
    { slots: 2, workMs: 150 },
];

/** Share of the faults that follow the one before at once. */
const seriesShare = 0.35;
/** Greatest time between two faults of a series, in milliseconds. */
const seriesGapMs = 120;
/** Least and greatest time between other faults, in milliseconds. */
const gapMs = [100, 1_200] as const;
/** Least and greatest factor of these times in a seed. */
const paceRange = [1, 4] as const;
/** Share of the seeds in which all hosts lose power at the end. */
const powerLossShare = 0.3;

const plans: readonly (readonly [FaultKind, FaultPlan])[] = Object.entries(faultPlans) as [
    FaultKind,
    FaultPlan,
][];

/** Faults of one run: the same for the same options. */
export function createSchedule({ seed, seconds, hosts }: ResolvedSoakOptions): Schedule {
    const random = createRandom(seed);
    const all = Array.from({ length: hosts }, (_, at) => at);
    const shuffled = all
        .map(host => ({ host, place: random() }))
        .sort((a, b) => a.place - b.place)
        .map(({ host }) => host);
    const pace = paceRange[0] + random() * (paceRange[1] - paceRange[0]);
    const relayed = shuffled.slice(0, Math.ceil(hosts / 2));

    const pick = <T>(items: readonly T[]): T => items[Math.floor(random() * items.length)] as T;
    const between = ([least, greatest]: readonly [number, number]) =>
        Math.round(least + random() * (greatest - least));
    const reaches = {
        [Reach.One]: () => [pick(all)],
        [Reach.Relayed]: () => [pick(relayed)],
        // Neighbours have backend servers of different services.
        [Reach.Pair]: () => {
            const first = pick(all);
            return [first, (first + 1) % hosts];
        },
        [Reach.Some]: () => all.filter(() => random() < 0.5),
        [Reach.All]: () => all,
    } satisfies Record<Reach, () => readonly number[]>;

    function createFault(at: number, kind: FaultKind, plan: FaultPlan): Fault {
        return {
            kind,
            at,
            ms: between(plan.ms),
            hosts: reaches[plan.reach](),
            detail: pick(plan.details ?? [""]),
        };
    }

    function pickKind(): readonly [FaultKind, FaultPlan] {
        let left = random() * plans.reduce((sum, [, { weight }]) => sum + weight, 0);
        return plans.find(([, { weight }]) => (left -= weight) < 0) as readonly [FaultKind, FaultPlan];
    }

    const faults: Fault[] = [];
    for (
        let at = 0;
        at < seconds * 1_000;
        at += random() < seriesShare ? between([0, seriesGapMs]) : Math.round(pace * between(gapMs))
    ) {
        faults.push(createFault(at, ...pickKind()));
    }
    if (random() < powerLossShare) {
        faults.push(createFault(seconds * 1_000, FaultKind.LosePower, faultPlans[FaultKind.LosePower]));
    }
    return { seed, relayed, faults, capacity: pick(capacities) };
}

/** One line for each fault. */
export function formatSchedule({ seed, relayed, faults, capacity }: Schedule): string {
    const lines = faults.map(
        ({ at, kind, detail, hosts, ms }) =>
            `${String(at).padStart(6)} ms ${kind} ${detail} of ${nameHosts(hosts)} for ${ms} ms`,
    );
    return `seed ${seed}, relays before ${nameHosts(relayed)}, ${capacity.slots} slots, ${capacity.workMs} ms of work\n${lines.join("\n")}\n`;
}

function nameHosts(hosts: readonly number[]): string {
    return hosts.map(host => `h${host}`).join(" ");
}
