/** Decides which calls may be retried and how often. */

/** Maximum number of retries, as a share of the calls. */
export const retryRatio = 0.1;
/** Maximum number of retries in a burst, after a period without retries. */
export const retryBurst = 10;
export const maxRetriesPerCall = 2;

/** Limits on the retries of a host. */
export interface RetryLimits {
    /**
     * Maximum number of retries, as a share of the calls.
     * @default 0.1
     */
    readonly ratio?: number;
    /**
     * Maximum number of retries in a burst, after a period without retries.
     * @default 10
     */
    readonly burst?: number;
}

/** Token bucket: each call adds a fraction of a token, and each retry consumes one token. */
export interface RetryBudget {
    readonly limits: Required<RetryLimits>;
    tokens: number;
}

export function createRetryBudget({ ratio = retryRatio, burst = retryBurst }: RetryLimits = {}): RetryBudget {
    return { limits: { ratio, burst }, tokens: burst };
}

export function recordCall(budget: RetryBudget): void {
    budget.tokens = Math.min(Math.max(1, budget.limits.burst), budget.tokens + budget.limits.ratio);
}

/** Consumes a token for a retry, if the call may be retried again. */
export function consumeRetry(
    budget: RetryBudget,
    retriesOfCall: number,
    maxAttempts = 1 + maxRetriesPerCall,
): boolean {
    // Ten calls must yield one retry, but adding 0.1 ten times is inexact in floating point.
    if (retriesOfCall + 1 >= maxAttempts || budget.tokens < 1 - 1e-9) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

/** How an attempt ended without a complete response. */
export const AttemptFailure = {
    /** The call was refused without having run. */
    Refused: "refused",
    /** No byte of the request was written. */
    NeverWritten: "neverWritten",
    /** Part of the request was written, and no response head was received. */
    Lost: "lost",
    /** Part of the response was already forwarded. */
    Truncated: "truncated",
} as const;
export type AttemptFailure = (typeof AttemptFailure)[keyof typeof AttemptFailure];

/** Next step of the entry daemon after a failed attempt. */
export const NextStep = {
    Retry: "retry",
    /** Ask the other daemon whether the call has run. */
    AskFate: "askFate",
    ReportNotRun: "sayNotRun",
    ReportUnknown: "sayUnknown",
    Reset: "reset",
} as const;
export type NextStep = (typeof NextStep)[keyof typeof NextStep];

export interface AttemptContext {
    readonly repeatable: boolean;
    /** Whether the request body can be sent again from its first byte. */
    readonly replayable: boolean;
    /** Whether the attempt went to another daemon, which can be asked for the fate of the call. */
    readonly remote: boolean;
}

const stepByFailure = {
    [AttemptFailure.Refused]: ({ replayable }) => (replayable ? NextStep.Retry : NextStep.ReportNotRun),
    [AttemptFailure.NeverWritten]: ({ replayable }) => (replayable ? NextStep.Retry : NextStep.ReportNotRun),
    [AttemptFailure.Lost]: ({ repeatable, replayable, remote }) =>
        repeatable && replayable ? NextStep.Retry : remote ? NextStep.AskFate : NextStep.ReportUnknown,
    [AttemptFailure.Truncated]: () => NextStep.Reset,
} satisfies Record<AttemptFailure, (context: AttemptContext) => NextStep>;

export function nextStepAfter(failure: AttemptFailure, context: AttemptContext): NextStep {
    return stepByFailure[failure](context);
}
