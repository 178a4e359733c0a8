/** Ledgers of callers and backend servers, and their comparison. */

/** One run of a call on a backend server. */
export interface RunEntry {
    readonly id: string;
    /** Method and path. */
    readonly operation: string;
    /** SHA-256 of the received body in hexadecimal. */
    readonly bodyHash: string;
    /** Milliseconds since the epoch. */
    readonly started: number;
    readonly finished?: number;
    readonly cancelled?: number;
}

export interface RunLedger {
    readonly backendServer: string;
    readonly service: string;
    readonly runs: readonly RunEntry[];
    /** Runs that did not fit in the ledger; a comparison with dropped runs proves nothing. */
    readonly dropped: number;
}

export const CallOutcome = {
    /** A complete successful response was received. */
    Completed: "completed",
    /** The call was refused before it ran. */
    NotRun: "notRun",
    /** The response does not say whether the call ran. */
    Unknown: "unknown",
    /** The connection broke before the response was complete. */
    Cut: "cut",
} as const;
export type CallOutcome = (typeof CallOutcome)[keyof typeof CallOutcome];

/** One call as its caller saw it. */
export interface CallEntry {
    readonly id: string;
    readonly service: string;
    readonly operation: string;
    readonly repeatable: boolean;
    readonly bodyHash: string;
    /** Missing while the call has no outcome. */
    readonly outcome?: CallOutcome;
    /** What the outcome rests on: a status, or an error code. */
    readonly detail?: string;
    readonly latencyMs?: number;
    /** Whether the response belongs to this call and hashes the body that was sent. */
    readonly ownAnswer?: boolean;
}

export interface CallLedger {
    readonly caller: string;
    readonly calls: readonly CallEntry[];
}

export interface LedgerComparison {
    calls: number;
    completed: number;
    /** Reported complete without a finished run, or without any outcome. */
    lost: number;
    cut: number;
    /** Calls of a non-repeatable operation that ran more than once. */
    doubled: number;
    refusedNotRun: number;
    outcomeUnknown: number;
    /** Complete responses that belong to another call or to another body. */
    wrongAnswers: number;
    /** Calls reported as not run that ran. */
    falseNotRun: number;
}

type Count = keyof LedgerComparison;
type Rule = (call: CallEntry, runs: readonly RunEntry[]) => boolean;

/** Decides for each figure whether a call counts. */
const rules: Readonly<Record<Count, Rule>> = {
    calls: () => true,
    completed: call => call.outcome === CallOutcome.Completed,
    lost: (call, runs) =>
        call.outcome === undefined ||
        (call.outcome === CallOutcome.Completed && !runs.some(run => run.finished !== undefined)),
    cut: call => call.outcome === CallOutcome.Cut,
    doubled: (call, runs) => !call.repeatable && runs.length > 1,
    refusedNotRun: call => call.outcome === CallOutcome.NotRun,
    outcomeUnknown: call => call.outcome === CallOutcome.Unknown,
    wrongAnswers: (call, runs) =>
        call.outcome === CallOutcome.Completed &&
        (call.ownAnswer !== true || runs.some(run => run.bodyHash !== call.bodyHash)),
    falseNotRun: (call, runs) => call.outcome === CallOutcome.NotRun && runs.length > 0,
};

/**
 * Compares what callers were told with what backend servers ran.
 *
 * @example
 * ```ts
 * const { lost, doubled } = compareLedgers([caller.ledger()], [backendServer.ledger()]);
 * ```
 */
export function compareLedgers(
    callers: readonly CallLedger[],
    backendServers: readonly RunLedger[],
): LedgerComparison {
    const runsById = new Map<string, RunEntry[]>();
    for (const run of backendServers.flatMap(ledger => ledger.runs)) {
        const runs = runsById.get(run.id) ?? [];
        runs.push(run);
        runsById.set(run.id, runs);
    }
    const calls = callers.flatMap(ledger => ledger.calls);
    const count = (rule: Rule) => calls.filter(call => rule(call, runsById.get(call.id) ?? [])).length;
    return Object.fromEntries(
        Object.entries(rules).map(([name, rule]) => [name, count(rule)]),
    ) as unknown as LedgerComparison;
}
