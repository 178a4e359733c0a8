/** Why a call was refused without having run, and how that is said to a caller. */

export const RefusalReason = {
    Malformed: "malformed",
    NoRoute: "noRoute",
    NotAllowed: "notAllowed",
    TooLarge: "tooLarge",
    HopRejected: "hopRejected",
    NotReady: "notReady",
    Draining: "draining",
    NoTarget: "noTarget",
    /** No backend server of the service on this host takes work. */
    NoBackendServer: "noBackendServer",
    QueueFull: "queueFull",
    OverShare: "overShare",
    /** The expected wait is longer than the time that is left. */
    WaitTooLong: "waitTooLong",
    /** The daemon reads calls so late that few of them could still be answered in time. */
    Overloaded: "overloaded",
    DeadlinePassed: "deadlinePassed",
    Barred: "barred",
    Unreachable: "unreachable",
    /** The backend server itself refused the call without running it. */
    BackendRefused: "backendRefused",
    /** Another backend server than the expected one has the address now. */
    BackendReplaced: "backendReplaced",
    RetriesExhausted: "retriesExhausted",
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

export interface Refusal {
    readonly reason: RefusalReason;
    /** Time after which another attempt makes sense, in milliseconds. */
    readonly retryAfterMs: number;
}

export function refusal(
    reason: RefusalReason,
    retryAfterMs = retryAfterByReason[reason] ?? defaultRetryAfterMs,
): Refusal {
    return { reason, retryAfterMs };
}

export const defaultRetryAfterMs = 1_000;

/** Reasons that pass sooner: another host or another connection serves the next attempt. */
const retryAfterByReason: Readonly<Partial<Record<RefusalReason, number>>> = {
    [RefusalReason.Unreachable]: 200,
    [RefusalReason.BackendRefused]: 200,
    [RefusalReason.BackendReplaced]: 200,
    [RefusalReason.Barred]: 200,
    [RefusalReason.DeadlinePassed]: 200,
    [RefusalReason.QueueFull]: 300,
    [RefusalReason.NoBackendServer]: 300,
    [RefusalReason.NoTarget]: 500,
};

export const CallOutcome = { NotRun: "not-run", Unknown: "unknown" } as const;
export type CallOutcome = (typeof CallOutcome)[keyof typeof CallOutcome];

const statusByReason = {
    [RefusalReason.Malformed]: 400,
    [RefusalReason.NoRoute]: 404,
    [RefusalReason.NotAllowed]: 403,
    [RefusalReason.TooLarge]: 413,
    [RefusalReason.HopRejected]: 403,
    [RefusalReason.NotReady]: 503,
    [RefusalReason.Draining]: 503,
    [RefusalReason.NoTarget]: 503,
    [RefusalReason.NoBackendServer]: 503,
    [RefusalReason.QueueFull]: 503,
    [RefusalReason.OverShare]: 429,
    [RefusalReason.WaitTooLong]: 503,
    [RefusalReason.Overloaded]: 503,
    [RefusalReason.DeadlinePassed]: 504,
    [RefusalReason.Barred]: 503,
    [RefusalReason.Unreachable]: 503,
    [RefusalReason.BackendRefused]: 503,
    [RefusalReason.BackendReplaced]: 503,
    [RefusalReason.RetriesExhausted]: 503,
} satisfies Record<RefusalReason, number>;

/** HTTP status of a call that was refused as not run. */
export function statusOfRefusal(reason: RefusalReason): number {
    return statusByReason[reason];
}

/** HTTP status of a call whose outcome is unknown. */
export const unknownOutcomeStatus = 502;

/** Refusals that say that the host itself is busy, so that the next tier may be used. */
const saturationReasons: ReadonlySet<string> = new Set([
    RefusalReason.QueueFull,
    RefusalReason.NoBackendServer,
    RefusalReason.Draining,
    RefusalReason.NotReady,
    RefusalReason.Unreachable,
    RefusalReason.BackendRefused,
    RefusalReason.BackendReplaced,
]);

export function saysSaturated(reason: string | undefined): boolean {
    return reason !== undefined && saturationReasons.has(reason);
}

/** Refusals that another daemon gives when its clock, keys or configuration differ from the entry daemon's. */
const disagreements: ReadonlySet<string> = new Set([
    RefusalReason.Malformed,
    RefusalReason.NoRoute,
    RefusalReason.NotAllowed,
    RefusalReason.HopRejected,
    RefusalReason.Barred,
]);
const knownReasons: ReadonlySet<string> = new Set(Object.values(RefusalReason));

/**
 * Reason of another daemon as the entry daemon passes it on. The entry daemon has checked the call
 * itself, so a disagreement, or a reason that it does not know, only says that this host did not take it.
 */
export function relayedReason(text: string): RefusalReason {
    return knownReasons.has(text) && !disagreements.has(text)
        ? (text as RefusalReason)
        : RefusalReason.NoTarget;
}

/** Refusals that every host would repeat, so that a retry elsewhere is useless. */
const finalReasons: ReadonlySet<string> = new Set([
    RefusalReason.Malformed,
    RefusalReason.TooLarge,
    RefusalReason.DeadlinePassed,
    RefusalReason.OverShare,
]);

/** Refusals of the backend server, at which the call has arrived. */
const backendReasons: ReadonlySet<string> = new Set([
    RefusalReason.BackendRefused,
    RefusalReason.BackendReplaced,
]);

export function arrivedAtBackend(reason: string | undefined): boolean {
    return reason !== undefined && backendReasons.has(reason);
}

export function isFinalRefusal(reason: string): boolean {
    return finalReasons.has(reason);
}
