/** Reasons for refusing a call that has not run, and how they are reported to the caller. */

export const RefusalReason = {
    Malformed: "malformed",
    NoRoute: "noRoute",
    NotAllowed: "notAllowed",
    TooLarge: "tooLarge",
    HopRejected: "hopRejected",
    NotReady: "notReady",
    Draining: "draining",
    NoTarget: "noTarget",
    /** No backend server of the service on this host accepts calls. */
    NoBackendServer: "noBackendServer",
    QueueFull: "queueFull",
    OverShare: "overShare",
    /** The expected wait is longer than the call may wait. */
    WaitTooLong: "waitTooLong",
    /** The daemon read the call so late that it is unlikely to be answered in time. */
    Overloaded: "overloaded",
    /** There is no recent sign that the caller is still connected. */
    CallerUnconfirmed: "callerUnconfirmed",
    DeadlinePassed: "deadlinePassed",
    Barred: "barred",
    Unreachable: "unreachable",
    /** The backend server refused the call without running it. */
    BackendRefused: "backendRefused",
    /** The address now belongs to another backend server than the expected one. */
    BackendReplaced: "backendReplaced",
    RetriesExhausted: "retriesExhausted",
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

export interface Refusal {
    readonly reason: RefusalReason;
    /** Time after which the caller should retry, in milliseconds. */
    readonly retryAfterMs: number;
}

export function refusal(
    reason: RefusalReason,
    retryAfterMs = retryAfterByReason[reason] ?? defaultRetryAfterMs,
): Refusal {
    return { reason, retryAfterMs };
}

export const defaultRetryAfterMs = 1_000;

/** Shorter delays for reasons where the next attempt uses another host or connection. */
const retryAfterByReason: Readonly<Partial<Record<RefusalReason, number>>> = {
    [RefusalReason.Unreachable]: 200,
    [RefusalReason.BackendRefused]: 200,
    [RefusalReason.BackendReplaced]: 200,
    [RefusalReason.Barred]: 200,
    [RefusalReason.CallerUnconfirmed]: 200,
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
    [RefusalReason.CallerUnconfirmed]: 503,
    [RefusalReason.DeadlinePassed]: 504,
    [RefusalReason.Barred]: 503,
    [RefusalReason.Unreachable]: 503,
    [RefusalReason.BackendRefused]: 503,
    [RefusalReason.BackendReplaced]: 503,
    [RefusalReason.RetriesExhausted]: 503,
} satisfies Record<RefusalReason, number>;

/** HTTP status of a call that was refused without having run. */
export function refusalStatus(reason: RefusalReason): number {
    return statusByReason[reason];
}

/** HTTP status of a call whose outcome is unknown. */
export const unknownOutcomeStatus = 502;

/** Refusals which indicate that the host is saturated, so that targets of the next tier may be used. */
const saturationReasons: ReadonlySet<string> = new Set([
    RefusalReason.QueueFull,
    RefusalReason.NoBackendServer,
    RefusalReason.Draining,
    RefusalReason.NotReady,
    RefusalReason.Unreachable,
    RefusalReason.BackendRefused,
    RefusalReason.BackendReplaced,
]);

export function indicatesSaturation(reason: string | undefined): boolean {
    return reason !== undefined && saturationReasons.has(reason);
}

/** Refusals by another daemon whose clock, keys or configuration differ from those of the entry daemon. */
const inconsistencyReasons: ReadonlySet<string> = new Set([
    RefusalReason.Malformed,
    RefusalReason.NoRoute,
    RefusalReason.NotAllowed,
    RefusalReason.HopRejected,
    RefusalReason.Barred,
]);
const knownReasons: ReadonlySet<string> = new Set(Object.values(RefusalReason));

/**
 * Maps a refusal reason of another daemon to the one that the entry daemon reports. The entry daemon has checked the call
 * itself, so an inconsistent or unknown reason only means that this host did not accept the call.
 */
export function relayedReason(text: string): RefusalReason {
    return knownReasons.has(text) && !inconsistencyReasons.has(text)
        ? (text as RefusalReason)
        : RefusalReason.NoTarget;
}

/** Refusals that every host would repeat, so that a retry on another host cannot succeed. */
const finalReasons: ReadonlySet<string> = new Set([
    RefusalReason.Malformed,
    RefusalReason.TooLarge,
    RefusalReason.DeadlinePassed,
    RefusalReason.OverShare,
]);

/** Refusals by the backend server, which the call has therefore reached. */
const backendReasons: ReadonlySet<string> = new Set([
    RefusalReason.BackendRefused,
    RefusalReason.BackendReplaced,
]);

export function reachedBackend(reason: string | undefined): boolean {
    return reason !== undefined && backendReasons.has(reason);
}

export function isFinalRefusal(reason: string): boolean {
    return finalReasons.has(reason);
}
