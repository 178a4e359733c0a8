/** What a host has seen of another host while calling one service there. */
export interface HostObservation {
    inFlight: number;
    /** Moving average of the time to a response head, in milliseconds. */
    latencyMs: number;
    latencyAt: number;
    consecutiveFailures: number;
    /** Times that the host was ejected since its last success. */
    ejections: number;
    ejectedUntil: number;
    trialInFlight: boolean;
    /** Refusals, halved every `refusalHalfLifeMs`. */
    refusals: number;
    refusedAt: number;
    /** Until then the host is taken as saturated. */
    saturatedUntil: number;
    /** Share of slots in use, as reported, from 0 to 1. */
    load: number;
    loadAt: number;
    /** Last word of the host on its backend servers of the service. */
    report: DatedReport | undefined;
    /** Operations whose calls the host has just refused because they would wait too long. */
    readonly full: Map<string, FullMark>;
}

/** A host's refusal of an operation, which holds for other calls of that operation for a short time. */
export interface FullMark {
    readonly until: number;
    /** Wait that the host expected, in milliseconds. */
    readonly waitMs: number;
}

/** What a host says of its backend servers of one service. */
export interface CapacityReport {
    /** Calls at the backend servers and calls that wait for them. */
    readonly calls: number;
    readonly slots: number;
    /** Moving average of the time that a call takes at a backend server, in milliseconds. */
    readonly serviceMs: number;
}

interface DatedReport extends CapacityReport {
    readonly at: number;
    /** Calls of the observer that were in flight to the host when the report came. */
    readonly inFlight: number;
}

/** Weight of a new latency in the moving average. */
const latencyWeight = 0.2;
/** Age at which an observed latency counts half, in milliseconds, so that a host that was slow is tried again. */
const latencyHalfLifeMs = 5_000;
/** Consecutive failures after which a host is ejected. */
export const failuresToEject = 3;
const firstEjectionMs = 1_000;
const maxEjectionMs = 60_000;
const refusalHalfLifeMs = 1_000;
/** Longest time for which one refusal marks a host as saturated, in milliseconds. */
const maxSaturationMs = 500;
/**
 * Time for which a refusal holds for other calls of its operation, in milliseconds: a call's usual run, in which a host
 * gives each of its slots to one more call.
 */
const fullMarkMs = 150;
/** Operations of one host that are marked at a time; further ones are asked for. */
const maxFullMarks = 64;
/** Age at which the calls of others in a capacity report count half, in milliseconds. */
const reportHalfLifeMs = 2_000;
/** Age at which a load report counts half, in milliseconds. */
const loadHalfLifeMs = 1_000;

export function createObservation(): HostObservation {
    return {
        inFlight: 0,
        latencyMs: 0,
        latencyAt: 0,
        consecutiveFailures: 0,
        ejections: 0,
        ejectedUntil: 0,
        trialInFlight: false,
        refusals: 0,
        refusedAt: 0,
        saturatedUntil: 0,
        load: 0,
        loadAt: 0,
        report: undefined,
        full: new Map(),
    };
}

export function noteStart(seen: HostObservation): void {
    seen.inFlight += 1;
    seen.trialInFlight = seen.ejections > 0;
}

export function noteEnd(seen: HostObservation): void {
    seen.inFlight = Math.max(0, seen.inFlight - 1);
    seen.trialInFlight = false;
}

export function noteSuccess(seen: HostObservation, latencyMs: number, now: number): void {
    seen.latencyMs =
        seen.latencyMs === 0 ? latencyMs : seen.latencyMs + latencyWeight * (latencyMs - seen.latencyMs);
    seen.latencyAt = now;
    seen.consecutiveFailures = 0;
    seen.ejections = 0;
    seen.ejectedUntil = 0;
}

export function noteFailure(seen: HostObservation, now: number): void {
    seen.consecutiveFailures += 1;
    if (seen.consecutiveFailures >= failuresToEject) {
        seen.ejectedUntil = now + Math.min(maxEjectionMs, firstEjectionMs * 2 ** seen.ejections);
        seen.ejections += 1;
    }
}

export function noteRefusal(
    seen: HostObservation,
    now: number,
    options: { saturated: boolean; retryAfterMs: number },
): void {
    seen.refusals = recentRefusals(seen, now) + 1;
    seen.refusedAt = now;
    if (options.saturated) {
        seen.saturatedUntil = now + Math.min(maxSaturationMs, options.retryAfterMs);
    }
}

/** Notes that the host refused a call of the operation because it would have waited too long. */
export function noteFull(seen: HostObservation, operation: string, waitMs: number, now: number): void {
    for (const [marked, { until }] of seen.full) {
        if (until <= now) {
            seen.full.delete(marked);
        }
    }
    if (seen.full.has(operation) || seen.full.size < maxFullMarks) {
        seen.full.set(operation, { until: now + fullMarkMs, waitMs });
    }
}

/** The host's refusal that still holds for calls of the operation. */
export function fullMark(
    seen: HostObservation | undefined,
    operation: string,
    now: number,
): FullMark | undefined {
    const mark = seen?.full.get(operation);
    return mark !== undefined && mark.until > now ? mark : undefined;
}

export function noteLoad(seen: HostObservation, load: number, now: number): void {
    seen.load = Math.min(1, Math.max(0, load));
    seen.loadAt = now;
}

export function noteCapacity(seen: HostObservation, report: CapacityReport, now: number): void {
    seen.report = { ...report, at: now, inFlight: seen.inFlight };
}

/**
 * Calls that the host is taken to have now: those of its report, changed by what the observer itself began and ended
 * since. Other observers do the same, so an old report counts less.
 */
export function expectedCalls(seen: HostObservation, report: DatedReport, now: number): number {
    const reported = Math.max(0, report.calls - report.inFlight);
    const weight = 0.5 ** (Math.max(0, now - report.at) / reportHalfLifeMs);
    return reported * weight + seen.inFlight;
}

/** Moving average of the latency, in milliseconds, halved every `latencyHalfLifeMs` without a call. */
export function recentLatencyMs(seen: HostObservation, now: number): number {
    return seen.latencyMs * 0.5 ** (Math.max(0, now - seen.latencyAt) / latencyHalfLifeMs);
}

export function recentRefusals(seen: HostObservation, now: number): number {
    return seen.refusals * 0.5 ** ((now - seen.refusedAt) / refusalHalfLifeMs);
}

export function recentLoad(seen: HostObservation, now: number): number {
    return seen.load * 0.5 ** ((now - seen.loadAt) / loadHalfLifeMs);
}
