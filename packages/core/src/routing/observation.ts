/** Statistics that a host keeps about another host from its calls to one service there. */
export interface HostObservation {
    inFlight: number;
    /** Moving average of the time to the response head, in milliseconds. */
    latencyMs: number;
    latencyUpdatedAt: number;
    consecutiveFailures: number;
    /** Number of ejections since the last success. */
    ejections: number;
    ejectedUntil: number;
    trialInFlight: boolean;
    /** Refusals, decayed by half every `refusalHalfLifeMs`. */
    refusals: number;
    lastRefusalAt: number;
    /** Time until which the host counts as saturated. */
    saturatedUntil: number;
    /** Reported share of slots in use, from 0 to 1. */
    load: number;
    loadUpdatedAt: number;
    /** Latest capacity report of the host for the service. */
    report: TimedCapacityReport | undefined;
    /** By operation, refusals of calls whose expected wait was too long. */
    readonly waitRefusals: Map<string, WaitRefusal>;
}

/** A refusal because of the expected wait. For a short time it applies to every call of the same operation. */
export interface WaitRefusal {
    readonly until: number;
    /** Wait that the host estimated, in milliseconds. */
    readonly waitMs: number;
}

/** Load and capacity that a host reports for its backend servers of one service. */
export interface CapacityReport {
    /** Calls that run at the backend servers or wait for a slot. */
    readonly calls: number;
    readonly slots: number;
    /** Moving average of the processing time of a call at a backend server, in milliseconds. */
    readonly serviceMs: number;
}

interface TimedCapacityReport extends CapacityReport {
    readonly at: number;
    /** This host's own calls in flight to the reporting host when the report arrived. */
    readonly inFlight: number;
}

/** Weight of a new sample in the moving average of the latency. */
const latencySmoothingFactor = 0.2;
/** Half-life of the observed latency. The decay lets a host that was slow receive calls again. */
const latencyHalfLifeMs = 5_000;
/** Number of consecutive failures that ejects a host. */
export const ejectionFailureThreshold = 3;
const firstEjectionMs = 1_000;
const maxEjectionMs = 60_000;
const refusalHalfLifeMs = 1_000;
/** Longest time for which one refusal marks a host as saturated. */
const maxSaturationMs = 500;
/**
 * Time for which a refusal because of the wait applies to other calls of the operation. It is the usual duration of a
 * call, in which a host assigns each of its slots to one more call.
 */
const waitRefusalTtlMs = 150;
/** Most operations of one host with a stored refusal. Calls of further operations are still sent to the host. */
const maxWaitRefusals = 64;
/** Half-life of the calls of other hosts in a capacity report. */
const reportHalfLifeMs = 2_000;
/** Half-life of a load report. */
const loadHalfLifeMs = 1_000;

export function createObservation(): HostObservation {
    return {
        inFlight: 0,
        latencyMs: 0,
        latencyUpdatedAt: 0,
        consecutiveFailures: 0,
        ejections: 0,
        ejectedUntil: 0,
        trialInFlight: false,
        refusals: 0,
        lastRefusalAt: 0,
        saturatedUntil: 0,
        load: 0,
        loadUpdatedAt: 0,
        report: undefined,
        waitRefusals: new Map(),
    };
}

export function recordCallStart(observation: HostObservation): void {
    observation.inFlight += 1;
    observation.trialInFlight = observation.ejections > 0;
}

export function recordCallEnd(observation: HostObservation): void {
    observation.inFlight = Math.max(0, observation.inFlight - 1);
    observation.trialInFlight = false;
}

export function recordSuccess(observation: HostObservation, latencyMs: number, now: number): void {
    observation.latencyMs =
        observation.latencyMs === 0
            ? latencyMs
            : observation.latencyMs + latencySmoothingFactor * (latencyMs - observation.latencyMs);
    observation.latencyUpdatedAt = now;
    observation.consecutiveFailures = 0;
    observation.ejections = 0;
    observation.ejectedUntil = 0;
}

export function recordFailure(observation: HostObservation, now: number): void {
    observation.consecutiveFailures += 1;
    if (observation.consecutiveFailures >= ejectionFailureThreshold) {
        observation.ejectedUntil =
            now + Math.min(maxEjectionMs, firstEjectionMs * 2 ** observation.ejections);
        observation.ejections += 1;
    }
}

export function recordRefusal(
    observation: HostObservation,
    now: number,
    options: { saturated: boolean; retryAfterMs: number },
): void {
    observation.refusals = decayedRefusals(observation, now) + 1;
    observation.lastRefusalAt = now;
    if (options.saturated) {
        observation.saturatedUntil = now + Math.min(maxSaturationMs, options.retryAfterMs);
    }
}

/** Records that the host refused a call of the operation because its expected wait was too long. */
export function recordWaitRefusal(
    observation: HostObservation,
    operation: string,
    waitMs: number,
    now: number,
): void {
    for (const [refusedOperation, { until }] of observation.waitRefusals) {
        if (until <= now) {
            observation.waitRefusals.delete(refusedOperation);
        }
    }
    if (observation.waitRefusals.has(operation) || observation.waitRefusals.size < maxWaitRefusals) {
        observation.waitRefusals.set(operation, { until: now + waitRefusalTtlMs, waitMs });
    }
}

/** The refusal that still applies to calls of the operation, if any. */
export function activeWaitRefusal(
    observation: HostObservation | undefined,
    operation: string,
    now: number,
): WaitRefusal | undefined {
    const waitRefusal = observation?.waitRefusals.get(operation);
    return waitRefusal !== undefined && waitRefusal.until > now ? waitRefusal : undefined;
}

export function recordLoad(observation: HostObservation, load: number, now: number): void {
    observation.load = Math.min(1, Math.max(0, load));
    observation.loadUpdatedAt = now;
}

export function recordCapacityReport(
    observation: HostObservation,
    report: CapacityReport,
    now: number,
): void {
    observation.report = { ...report, at: now, inFlight: observation.inFlight };
}

/**
 * Estimates the calls at the host: this host's own calls in flight, and the calls of other hosts from the report.
 * The latter decay with the age of the report, because other hosts start and end calls in the meantime.
 */
export function estimateCalls(
    observation: HostObservation,
    report: TimedCapacityReport,
    now: number,
): number {
    const otherCalls = Math.max(0, report.calls - report.inFlight);
    const weight = 0.5 ** (Math.max(0, now - report.at) / reportHalfLifeMs);
    return otherCalls * weight + observation.inFlight;
}

/** Moving average of the latency, decayed by half for every `latencyHalfLifeMs` without a call. */
export function decayedLatencyMs(observed: HostObservation, now: number): number {
    return observed.latencyMs * 0.5 ** (Math.max(0, now - observed.latencyUpdatedAt) / latencyHalfLifeMs);
}

export function decayedRefusals(observation: HostObservation, now: number): number {
    return observation.refusals * 0.5 ** ((now - observation.lastRefusalAt) / refusalHalfLifeMs);
}

export function decayedLoad(observation: HostObservation, now: number): number {
    return observation.load * 0.5 ** ((now - observation.loadUpdatedAt) / loadHalfLifeMs);
}
