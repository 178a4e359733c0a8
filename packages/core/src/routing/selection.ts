import { recentLoad, recentRefusals, type HostObservation } from "./observation.js";
import { tierOrder, type ServiceTargets, type Target, type Tier } from "./targets.js";

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
}

export interface Selection {
    readonly target: Target;
    readonly tier: Tier;
}

/**
 * Chooses a host: the first tier with a usable host, and the better of two random hosts of it.
 * When every host is marked as saturated the marks are ignored, because they may be out of date
 * and the host itself refuses what it cannot take.
 */
export function chooseTarget(targets: ServiceTargets, options: SelectionOptions): Selection | undefined {
    return chooseFrom(targets, options, isSaturated) ?? chooseFrom(targets, options, () => false);
}

type Skip = (target: Target, options: SelectionOptions) => boolean;

function isSaturated({ host }: Target, { observations, now }: SelectionOptions): boolean {
    return (observations.get(host)?.saturatedUntil ?? 0) > now;
}

function chooseFrom(targets: ServiceTargets, options: SelectionOptions, skip: Skip): Selection | undefined {
    for (const tier of tierOrder) {
        const usable = usableTargets(targets[tier], options, skip);
        if (usable.length > 0) {
            return { target: betterOfTwo(usable, options), tier };
        }
    }
    return undefined;
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
    const slots = Math.max(1, target.slots) * slowStartShare(target, now, coldStartMs);
    const latencyMs = Math.max(unknownLatencyMs, seen?.latencyMs ?? 0);
    const load = seen === undefined ? 0 : recentLoad(seen, now);
    const refusals = seen === undefined ? 0 : recentRefusals(seen, now);
    return (((seen?.inFlight ?? 0) + 1) / slots) * latencyMs * (1 + load) * (1 + refusals);
}

/** Share of its slots that a starting host is taken to have, rising to 1 over the cold start. */
export function slowStartShare(target: Target, now: number, coldStartMs: number): number {
    const age = Math.max(0, now - target.startedAt);
    return age >= coldStartMs ? 1 : Math.max(minSlowStartShare, age / coldStartMs);
}
