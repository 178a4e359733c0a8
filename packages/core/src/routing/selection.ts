import {
    activeWaitRefusal,
    decayedLatencyMs,
    decayedLoad,
    decayedRefusals,
    estimateCalls,
    type HostObservation,
} from "./observation.js";
import { Tier, tiersByDistance, type ServiceTargets, type Target } from "./targets.js";

/** Smallest slow-start share. A starting host needs some calls to warm up. */
const minSlowStartShare = 0.1;
/** Latency assumed for a host that has not been called yet. */
const initialLatencyMs = 1;

export interface SelectionOptions {
    /** Observations of the service's hosts, by host name. */
    readonly observations: ReadonlyMap<string, HostObservation>;
    readonly now: number;
    /** Uniform in [0, 1). */
    readonly random: () => number;
    readonly coldStartMs: number;
    /** Hosts that earlier attempts of the call were sent to. */
    readonly excluded: ReadonlySet<string>;
    /** @default defaultTierCosts */
    readonly distances?: TierCosts;
    /**
     * Size of the request and the expected response.
     * @default 0
     */
    readonly kilobytes?: number;
    /**
     * Calls with the same value have the same priority and about the same duration.
     * @default ""
     */
    readonly operation?: string;
    /**
     * Time left until the latency objective of the call, in milliseconds. Delays that leave the objective within reach
     * count for less.
     * @default all delays count in full
     */
    readonly objectiveMs?: number;
}

/** Cost of sending a call to a tier, expressed as the delay that the call must save there. */
export interface TierCost {
    readonly ms: number;
    readonly msPerKilobyte: number;
}

export type TierCosts = Readonly<Record<Tier, TierCost>>;

export interface Selection {
    readonly target: Target;
    readonly tier: Tier;
}

/**
 * Chooses a host for a call. In each tier it takes the better of two random hosts; of these candidates it returns the
 * one with the lowest sum of expected delay and tier cost. When every host is suspect or saturated, both marks are
 * ignored: they may be out of date, and a host refuses calls that it cannot serve. A host that has just refused a call
 * of the same operation because of its wait would refuse this call too and is never chosen.
 */
export function chooseTarget(targets: ServiceTargets, options: SelectionOptions): Selection | undefined {
    return chooseFrom(targets, options, shouldAvoid) ?? chooseFrom(targets, options, isRefusing);
}

/** Shortest wait among the active refusals of the operation, or `undefined` if there are none. */
export function minRefusedWaitMs(
    targets: ServiceTargets,
    { observations, now, operation = "" }: Pick<SelectionOptions, "observations" | "now" | "operation">,
): number | undefined {
    const waitRefusals = tiersByDistance
        .flatMap(tier => targets[tier])
        .flatMap(({ host }) => activeWaitRefusal(observations.get(host), operation, now) ?? []);
    return waitRefusals.length === 0 ? undefined : Math.min(...waitRefusals.map(({ waitMs }) => waitMs));
}

function isRefusing({ host }: Target, { observations, now, operation = "" }: SelectionOptions): boolean {
    return activeWaitRefusal(observations.get(host), operation, now) !== undefined;
}

type ExclusionRule = (target: Target, options: SelectionOptions) => boolean;

function shouldAvoid(target: Target, options: SelectionOptions): boolean {
    const { host, isSuspect } = target;
    const { observations, now } = options;
    return isSuspect || (observations.get(host)?.saturatedUntil ?? 0) > now || isRefusing(target, options);
}

/**
 * Default cost of each tier. Calls go to a farther tier when the nearer ones delay them by more than the difference.
 * When calls could not leave a tier this way, an overloaded failure domain queued them for hundreds of milliseconds
 * while other domains were idle. The cost of `OtherRegions` also accounts for the price of traffic between regions.
 */
export const defaultTierCosts = {
    [Tier.OwnHost]: { ms: 0, msPerKilobyte: 0 },
    [Tier.OwnFailureDomain]: { ms: 2, msPerKilobyte: 0 },
    [Tier.OwnRegion]: { ms: 10, msPerKilobyte: 0 },
    [Tier.OtherRegions]: { ms: 40, msPerKilobyte: 0 },
} satisfies TierCosts;

/** Share of the time until the objective in which the duration of a call hardly changes whether the objective is met. */
const uncriticalShare = 0.5;
/** Weight of the duration within that share. */
const uncriticalWeight = 0.25;
/** Hosts drawn at random before a tier is searched, and size up to which a tier is searched at once. */
const maxDraws = 8;
/** Share of busy slots above which a backend server slows down. Calls beyond it are expected to wait. */
const queueingThreshold = 0.8;

function chooseFrom(
    targets: ServiceTargets,
    options: SelectionOptions,
    isExcluded: ExclusionRule,
): Selection | undefined {
    const { distances = defaultTierCosts, kilobytes = 0 } = options;
    let best: Selection | undefined;
    let bestCostMs = Infinity;
    for (const tier of tiersByDistance) {
        const distanceMs = distances[tier].ms + distances[tier].msPerKilobyte * kilobytes;
        // The distance alone costs more than the whole call on the best host so far.
        const target =
            distanceMs >= bestCostMs ? undefined : pickBetterOfTwo(targets[tier], options, isExcluded);
        if (target !== undefined) {
            const costMs = distanceMs + weighDuration(estimateTotalMs(target, options), options);
            if (best === undefined || costMs < bestCostMs) {
                best = { target, tier };
                bestCostMs = costMs;
            }
        }
    }
    return best;
}

/**
 * Duration of a call as a cost, in milliseconds. A call that ends well before its objective gains little from a faster
 * host, so that such a host in a farther tier is not worth the traffic.
 */
function weighDuration(durationMs: number, { objectiveMs }: Pick<SelectionOptions, "objectiveMs">): number {
    const uncriticalMs =
        objectiveMs === undefined ? 0 : Math.min(durationMs, uncriticalShare * Math.max(0, objectiveMs));
    return durationMs - (1 - uncriticalWeight) * uncriticalMs;
}

/** Lowest known duration of a call without queueing, over all hosts of the service. */
function findMinLatencyMs(observations: ReadonlyMap<string, HostObservation>): number {
    let minKnownMs = Infinity;
    for (const { latencyMs, report } of observations.values()) {
        const knownMs = report?.serviceMs ?? latencyMs;
        minKnownMs = knownMs > 0 ? Math.min(minKnownMs, knownMs) : minKnownMs;
    }
    return minKnownMs === Infinity ? 0 : minKnownMs;
}

/**
 * Expected duration of one more call on a host, from its latency, refusals and calls in flight. A host that was not
 * called yet is assumed to be as fast as the fastest one, so that it gets calls.
 */
function estimateTotalMs(target: Target, options: SelectionOptions): number {
    const { observations, now } = options;
    const observation = observations.get(target.host);
    if (observation?.report !== undefined) {
        return estimateDurationMs(target, observation, options);
    }
    const minLatencyMs = findMinLatencyMs(observations);
    if (observation === undefined) {
        return minLatencyMs;
    }
    const latencyMs = Math.max(minLatencyMs, decayedLatencyMs(observation, now));
    const queued = Math.max(0, observation.inFlight + 1 - target.slots) / Math.max(1, target.slots);
    return latencyMs * (1 + queued) * (1 + decayedRefusals(observation, now));
}

/** Checks whether a host may be chosen, and finds the ejected hosts of its tier only when that matters. */
function createEligibility(
    tier: readonly Target[],
    options: SelectionOptions,
    isExcluded: ExclusionRule,
): (target: Target) => boolean {
    let ejected: ReadonlySet<string> | undefined;
    return target => {
        if (options.excluded.has(target.host) || isExcluded(target, options)) {
            return false;
        }
        if (!isOutlier(options.observations.get(target.host), options.now)) {
            return true;
        }
        ejected ??= ejectedHosts(tier, options);
        return !ejected.has(target.host);
    };
}

/** Whether the host failed repeatedly, so that it may be ejected. */
function isOutlier(observation: HostObservation | undefined, now: number): boolean {
    return observation !== undefined && (observation.ejectedUntil > now || observation.trialInFlight);
}

/**
 * Hosts that receive no calls at the moment because of failures: at most half of the tier, those with the latest end of
 * their ejection first.
 */
export function ejectedHosts(
    tier: readonly Target[],
    { observations, now }: Pick<SelectionOptions, "observations" | "now">,
): ReadonlySet<string> {
    const ejected = tier
        .map(({ host }) => ({ host, observation: observations.get(host) }))
        .filter(({ observation }) => isOutlier(observation, now))
        .sort((a, b) => (b.observation?.ejectedUntil ?? 0) - (a.observation?.ejectedUntil ?? 0));
    return new Set(ejected.slice(0, Math.floor(tier.length / 2)).map(({ host }) => host));
}

function pickBetterOfTwo(
    tier: readonly Target[],
    options: SelectionOptions,
    isExcluded: ExclusionRule,
): Target | undefined {
    const isEligible = createEligibility(tier, options, isExcluded);
    const pair = drawPair(tier, options.random, isEligible);
    if (pair === undefined) {
        const eligible = tier.filter(isEligible);
        const first = Math.floor(options.random() * eligible.length);
        const step = 1 + Math.floor(options.random() * (eligible.length - 1));
        return betterOf(eligible[first], eligible[(first + step) % eligible.length], options);
    }
    return betterOf(...pair, options);
}

/**
 * Draws two different eligible hosts without a look at the others, so that the cost of a choice does not grow with the
 * number of hosts. Returns `undefined` for a small tier, or when too few of the drawn hosts are eligible.
 */
function drawPair(
    tier: readonly Target[],
    random: () => number,
    isEligible: (target: Target) => boolean,
): readonly [Target, Target] | undefined {
    let first: Target | undefined;
    for (let draw = 0; draw < maxDraws && tier.length > maxDraws; draw += 1) {
        const target = tier[Math.floor(random() * tier.length)] as Target;
        if (target === first || !isEligible(target)) {
            continue;
        }
        if (first !== undefined) {
            return [first, target];
        }
        first = target;
    }
    return undefined;
}

function betterOf(
    a: Target | undefined,
    b: Target | undefined,
    options: SelectionOptions,
): Target | undefined {
    return a === undefined || b === undefined || estimateCost(b, options) >= estimateCost(a, options) ? a : b;
}

/** Relative cost of one more call on a host; lower is better. */
export function estimateCost(
    target: Target,
    { observations, now, coldStartMs }: Pick<SelectionOptions, "observations" | "now" | "coldStartMs">,
): number {
    const observation = observations.get(target.host);
    if (observation?.report !== undefined) {
        return estimateDurationMs(target, observation, { now, coldStartMs });
    }
    const slots = Math.max(1, target.slots) * slowStartShare(target, now, coldStartMs);
    const latencyMs = Math.max(
        initialLatencyMs,
        observation === undefined ? 0 : decayedLatencyMs(observation, now),
    );
    const load = observation === undefined ? 0 : decayedLoad(observation, now);
    const refusals = observation === undefined ? 0 : decayedRefusals(observation, now);
    return (((observation?.inFlight ?? 0) + 1) / slots) * latencyMs * (1 + load) * (1 + refusals);
}

/** Expected duration of one more call on a host, from its capacity report and its recent refusals. */
function estimateDurationMs(
    target: Target,
    observation: HostObservation,
    { now, coldStartMs }: Pick<SelectionOptions, "now" | "coldStartMs">,
): number {
    const { report } = observation;
    if (report === undefined) {
        return 0;
    }
    const slots = Math.max(1, report.slots) * slowStartShare(target, now, coldStartMs);
    const waiting =
        Math.max(0, estimateCalls(observation, report, now) + 1 - queueingThreshold * slots) / slots;
    return report.serviceMs * (1 + waiting) * (1 + decayedRefusals(observation, now));
}

/** Share of a host's slots that counts during slow start. It rises to 1 over the cold start. */
export function slowStartShare(target: Target, now: number, coldStartMs: number): number {
    const ageMs = Math.max(0, now - target.startedAt);
    return ageMs >= coldStartMs ? 1 : Math.max(minSlowStartShare, ageMs / coldStartMs);
}
