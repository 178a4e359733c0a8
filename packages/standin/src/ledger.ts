/** Records of calls kept by callers and by backend servers, and the comparison of both. */

/** One execution of a call on a backend server. */
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
    /** Runs that exceeded the capacity of the ledger; if there are any, a comparison is not conclusive. */
    readonly dropped: number;
}

export const CallOutcome = {
    /** The caller received a complete successful response. */
    Completed: "completed",
    /** The call was refused before it ran. */
    NotRun: "notRun",
    /** The response does not tell whether the call ran. */
    Unknown: "unknown",
    /** The call ended before the response was complete, by a lost connection or a timeout. */
    Cut: "cut",
} as const;
export type CallOutcome = (typeof CallOutcome)[keyof typeof CallOutcome];

/** One call as seen by its caller. */
export interface CallEntry {
    readonly id: string;
    readonly service: string;
    readonly operation: string;
    readonly repeatable: boolean;
    readonly bodyHash: string;
    /** Missing while the call has no outcome. */
    readonly outcome?: CallOutcome;
    /** Status and reason of the response, or an error code. */
    readonly detail?: string;
    readonly latencyMs?: number;
    /** Whether the response carries the id of this call and the hash of the body that was sent. */
    readonly ownAnswer?: boolean;
}

export interface CallLedger {
    readonly caller: string;
    readonly calls: readonly CallEntry[];
}

export interface LedgerComparison {
    calls: number;
    completed: number;
    /** Calls reported as completed without a finished run, and calls without an outcome. */
    lost: number;
    cut: number;
    /** Calls of a non-repeatable operation that ran more than once. */
    doubled: number;
    refusedNotRun: number;
    outcomeUnknown: number;
    /** Completed calls whose response or run belongs to another call or another body. */
    wrongAnswers: number;
    /** Calls reported as not run that ran. */
    falseNotRun: number;
}

type ComparisonField = keyof LedgerComparison;
type Rule = (call: CallEntry, runs: readonly RunEntry[]) => boolean;

/** Decides for each field of the comparison whether a call is counted. */
const countRules: Readonly<Record<ComparisonField, Rule>> = {
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
 * Compares the outcomes that callers received with the runs of the backend servers.
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
        Object.entries(countRules).map(([name, rule]) => [name, count(rule)]),
    ) as unknown as LedgerComparison;
}
