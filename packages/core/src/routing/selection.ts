import {
    expectedCalls,
    fullMark,
    recentLatencyMs,
    recentLoad,
    recentRefusals,
    type HostObservation,
} from "./observation.js";
import { Tier, tierOrder, type ServiceTargets, type Target } from "./targets.js";

/** Smallest share of its calls that a starting host gets, so that it warms up at all. */
const minSlowStartShare = 0.1;
/** Latency that stands for a host without calls so far, in milliseconds. */
const unknownLatencyMs = 1;

export interface SelectionOptions {
    /** Observations of the service's hosts. */
    readonly observations: ReadonlyMap<string, HostObservation>;
    readonly now: number;
    /** Uniform in [0, 1). */
    readonly random: () => number;
    readonly coldStartMs: number;
    /** Hosts that the call was already tried on. */
    readonly excluded: ReadonlySet<string>;
    /** @default defaultDistances */
    readonly distances?: Distances;
    /**
     * Size of the call and its answer.
     * @default 0
     */
    readonly kilobytes?: number;
    /**
     * Calls of one operation are as urgent as each other and take about the same time.
     * @default ""
     */
    readonly operation?: string;
}

/** What it costs to leave the nearer tiers, as the wait that it must save. */
export interface Distance {
    readonly ms: number;
    readonly msPerKilobyte: number;
}

export type Distances = Readonly<Record<Tier, Distance>>;

export interface Selection {
    readonly target: Target;
    readonly tier: Tier;
}

/**
 * Chooses a host: the better of two random hosts of each tier, and of these the one with the least
 * wait and distance. When every host is suspected or marked as saturated the marks are ignored, because they may
 * be out of date and the host itself refuses what it cannot take. A host that has just refused a call of the same
 * operation because of its wait would refuse this one, too, and is not chosen.
 */
export function chooseTarget(targets: ServiceTargets, options: SelectionOptions): Selection | undefined {
    return chooseFrom(targets, options, isSaturated) ?? chooseFrom(targets, options, isFull);
}

/** Least wait of the hosts that would refuse the call because of it; `undefined` when there is none. */
export function leastRefusedWaitMs(
    targets: ServiceTargets,
    { observations, now, operation = "" }: Pick<SelectionOptions, "observations" | "now" | "operation">,
): number | undefined {
    const marks = tierOrder
        .flatMap(tier => targets[tier])
        .flatMap(({ host }) => fullMark(observations.get(host), operation, now) ?? []);
    return marks.length === 0 ? undefined : Math.min(...marks.map(({ waitMs }) => waitMs));
}

function isFull({ host }: Target, { observations, now, operation = "" }: SelectionOptions): boolean {
    return fullMark(observations.get(host), operation, now) !== undefined;
}

type Skip = (target: Target, options: SelectionOptions) => boolean;

function isSaturated(target: Target, options: SelectionOptions): boolean {
    const { host, isSuspect } = target;
    const { observations, now } = options;
    return isSuspect || (observations.get(host)?.saturatedUntil ?? 0) > now || isFull(target, options);
}

/**
 * Wait that a nearer tier must cause before a tier is used. The last one also stands for the price of
 * bytes between regions. Without it a failure domain whose callers offer more than its capacity queued
 * for hundreds of milliseconds while other domains were idle.
 */
export const defaultDistances = {
    [Tier.OwnHost]: { ms: 0, msPerKilobyte: 0 },
    [Tier.OwnFailureDomain]: { ms: 2, msPerKilobyte: 0 },
    [Tier.OwnRegion]: { ms: 10, msPerKilobyte: 0 },
    [Tier.OtherRegions]: { ms: 40, msPerKilobyte: 0 },
} satisfies Distances;

/** Share of its slots above which a backend server slows down, so that calls there are expected to wait. */
const comfortableShare = 0.8;

function chooseFrom(targets: ServiceTargets, options: SelectionOptions, skip: Skip): Selection | undefined {
    const candidates = tierOrder.flatMap(tier => {
        const usable = usableTargets(targets[tier], options, skip);
        return usable.length === 0 ? [] : [{ target: betterOfTwo(usable, options), tier }];
    });
    if (candidates.length < 2) {
        return candidates[0];
    }
    const leastMs = leastLatencyMs(options.observations);
    const { distances = defaultDistances, kilobytes = 0 } = options;
    const price = ({ target, tier }: Selection) =>
        distances[tier].ms + distances[tier].msPerKilobyte * kilobytes + waitMs(target, leastMs, options);
    return candidates.reduce((best, next) => (price(next) < price(best) ? next : best));
}

/** Least time that a call is known to take on a host of the service when it does not wait. */
function leastLatencyMs(observations: ReadonlyMap<string, HostObservation>): number {
    let least = Infinity;
    for (const { latencyMs, report } of observations.values()) {
        const knownMs = report?.serviceMs ?? latencyMs;
        least = knownMs > 0 ? Math.min(least, knownMs) : least;
    }
    return least === Infinity ? 0 : least;
}

/** Time that a call is expected to lose on a host, from its latency, refusals and the calls in flight. */
function waitMs(target: Target, leastMs: number, options: SelectionOptions): number {
    const { observations, now } = options;
    const seen = observations.get(target.host);
    if (seen === undefined) {
        return 0;
    }
    if (seen.report !== undefined) {
        return Math.max(0, reportedCostMs(target, seen, options) - leastMs);
    }
    const latencyMs = Math.max(leastMs, recentLatencyMs(seen, now));
    const queued = Math.max(0, seen.inFlight + 1 - target.slots) / Math.max(1, target.slots);
    return latencyMs * (1 + queued) * (1 + recentRefusals(seen, now)) - leastMs;
}

function usableTargets(tier: readonly Target[], options: SelectionOptions, skip: Skip): readonly Target[] {
    const ejected = ejectedHosts(tier, options);
    return tier.filter(
        target => !options.excluded.has(target.host) && !ejected.has(target.host) && !skip(target, options),
    );
}

/** Hosts that get no call now: at most half of the tier, those ejected for longest first. */
export function ejectedHosts(
    tier: readonly Target[],
    { observations, now }: Pick<SelectionOptions, "observations" | "now">,
): ReadonlySet<string> {
    const out = tier
        .map(({ host }) => ({ host, seen: observations.get(host) }))
        .filter(({ seen }) => seen !== undefined && (seen.ejectedUntil > now || seen.trialInFlight))
        .sort((a, b) => (b.seen?.ejectedUntil ?? 0) - (a.seen?.ejectedUntil ?? 0));
    return new Set(out.slice(0, Math.floor(tier.length / 2)).map(({ host }) => host));
}

function betterOfTwo(usable: readonly Target[], options: SelectionOptions): Target {
    const first = Math.floor(options.random() * usable.length);
    const step = 1 + Math.floor(options.random() * (usable.length - 1));
    const a = usable[first] as Target;
    const b = usable[(first + step) % usable.length] as Target;
    return costOf(b, options) < costOf(a, options) ? b : a;
}

/** Expected cost of one more call on a host; lower is better. */
export function costOf(
    target: Target,
    { observations, now, coldStartMs }: Pick<SelectionOptions, "observations" | "now" | "coldStartMs">,
): number {
    const seen = observations.get(target.host);
    if (seen?.report !== undefined) {
        return reportedCostMs(target, seen, { now, coldStartMs });
    }
    const slots = Math.max(1, target.slots) * slowStartShare(target, now, coldStartMs);
    const latencyMs = Math.max(unknownLatencyMs, seen === undefined ? 0 : recentLatencyMs(seen, now));
    const load = seen === undefined ? 0 : recentLoad(seen, now);
    const refusals = seen === undefined ? 0 : recentRefusals(seen, now);
    return (((seen?.inFlight ?? 0) + 1) / slots) * latencyMs * (1 + load) * (1 + refusals);
}

/** Time that one more call is expected to take on a host, from the host's own report and the refusals seen. */
function reportedCostMs(
    target: Target,
    seen: HostObservation,
    { now, coldStartMs }: Pick<SelectionOptions, "now" | "coldStartMs">,
): number {
    const { report } = seen;
    if (report === undefined) {
        return 0;
    }
    const slots = Math.max(1, report.slots) * slowStartShare(target, now, coldStartMs);
    const waiting = Math.max(0, expectedCalls(seen, report, now) + 1 - comfortableShare * slots) / slots;
    return report.serviceMs * (1 + waiting) * (1 + recentRefusals(seen, now));
}

/** Share of its slots that a starting host is taken to have, rising to 1 over the cold start. */
export function slowStartShare(target: Target, now: number, coldStartMs: number): number {
    const age = Math.max(0, now - target.startedAt);
    return age >= coldStartMs ? 1 : Math.max(minSlowStartShare, age / coldStartMs);
}
