import { createRandom } from "../bench/random.js";
import { FaultKind, faultPlans, FaultScope, type Fault, type FaultPlan } from "./faults.js";
import type { ResolvedSoakOptions } from "./options.js";

export interface Schedule {
    readonly seed: number;
    /** Indexes of the hosts whose connections pass through relays. Other hosts are reached directly. */
    readonly relayed: readonly number[];
    readonly faults: readonly Fault[];
    readonly capacity: Capacity;
}

/** Capacity of each backend server. */
export interface Capacity {
    readonly slots: number;
    /** Processing time of a call, in milliseconds. */
    readonly workMs: number;
}

/** The first is far above the load of the clients. The second is below it, so that calls are queued and refused. */
const capacities: readonly Capacity[] = [
    { slots: 12, workMs: 25 },
    { slots: 2, workMs: 150 },
];

/** Share of faults that follow the previous one in a burst. */
const burstShare = 0.35;
/** Maximum time between two faults of a burst, in milliseconds. */
const maxBurstGapMs = 120;
/** Minimum and maximum time between other faults, in milliseconds, before scaling. */
const gapRangeMs = [100, 1_200] as const;
/** Minimum and maximum factor by which a seed scales these times. */
const gapFactorRange = [1, 4] as const;
/** Share of seeds in which all hosts lose power at the end. */
const powerLossShare = 0.3;

const weightedPlans: readonly (readonly [FaultKind, FaultPlan])[] = Object.entries(faultPlans) as [
    FaultKind,
    FaultPlan,
][];

/** Draws the faults of one run. The result depends only on the options. */
export function createSchedule({ seed, seconds, hosts }: ResolvedSoakOptions): Schedule {
    const random = createRandom(seed);
    const allHosts = Array.from({ length: hosts }, (_, at) => at);
    const shuffled = allHosts
        .map(host => ({ host, order: random() }))
        .sort((a, b) => a.order - b.order)
        .map(({ host }) => host);
    const gapFactor = gapFactorRange[0] + random() * (gapFactorRange[1] - gapFactorRange[0]);
    const relayed = shuffled.slice(0, Math.ceil(hosts / 2));

    const pick = <T>(items: readonly T[]): T => items[Math.floor(random() * items.length)] as T;
    const between = ([least, greatest]: readonly [number, number]) =>
        Math.round(least + random() * (greatest - least));
    const hostPickers = {
        [FaultScope.One]: () => [pick(allHosts)],
        [FaultScope.Relayed]: () => [pick(relayed)],
        // Hosts with consecutive indexes have backend servers of different services.
        [FaultScope.Pair]: () => {
            const first = pick(allHosts);
            return [first, (first + 1) % hosts];
        },
        [FaultScope.Some]: () => allHosts.filter(() => random() < 0.5),
        [FaultScope.All]: () => allHosts,
    } satisfies Record<FaultScope, () => readonly number[]>;

    function createFault(at: number, kind: FaultKind, plan: FaultPlan): Fault {
        return {
            kind,
            at,
            durationMs: between(plan.durationRangeMs),
            hosts: hostPickers[plan.scope](),
            detail: pick(plan.details ?? [""]),
        };
    }

    function pickKind(): readonly [FaultKind, FaultPlan] {
        let remaining = random() * weightedPlans.reduce((sum, [, { weight }]) => sum + weight, 0);
        return weightedPlans.find(([, { weight }]) => (remaining -= weight) < 0) as readonly [
            FaultKind,
            FaultPlan,
        ];
    }

    const faults: Fault[] = [];
    for (
        let at = 0;
        at < seconds * 1_000;
        at +=
            random() < burstShare ? between([0, maxBurstGapMs]) : Math.round(gapFactor * between(gapRangeMs))
    ) {
        faults.push(createFault(at, ...pickKind()));
    }
    if (random() < powerLossShare) {
        faults.push(createFault(seconds * 1_000, FaultKind.LosePower, faultPlans[FaultKind.LosePower]));
    }
    return { seed, relayed, faults, capacity: pick(capacities) };
}

/** Formats the schedule with one line per fault. */
export function formatSchedule({ seed, relayed, faults, capacity }: Schedule): string {
    const lines = faults.map(
        ({ at, kind, detail, hosts, durationMs }) =>
            `${String(at).padStart(6)} ms ${kind} ${detail} of ${nameHosts(hosts)} for ${durationMs} ms`,
    );
    return `seed ${seed}, relays before ${nameHosts(relayed)}, ${capacity.slots} slots, ${capacity.workMs} ms of work\n${lines.join("\n")}\n`;
}

function nameHosts(hosts: readonly number[]): string {
    return hosts.map(host => `h${host}`).join(" ");
}
