/** Retries: what may be tried again, and how often. */

/** Share of the calls that may be retried. */
export const retryRatio = 0.1;
/** Retries that may be made at once after a quiet time. */
export const retryBurst = 10;
export const maxRetriesPerCall = 2;

/** How many retries a host may make. */
export interface RetryLimits {
    /**
     * Share of the calls that may be retried.
     * @default 0.1
     */
    readonly ratio?: number;
    /**
     * Retries that may be made at once after a quiet time.
     * @default 10
     */
    readonly burst?: number;
}

/** Token bucket that each call fills a little and each retry empties by one. */
export interface RetryBudget {
    readonly limits: Required<RetryLimits>;
    tokens: number;
}

export function createRetryBudget({ ratio = retryRatio, burst = retryBurst }: RetryLimits = {}): RetryBudget {
    return { limits: { ratio, burst }, tokens: burst };
}

export function noteCall(budget: RetryBudget): void {
    budget.tokens = Math.min(Math.max(1, budget.limits.burst), budget.tokens + budget.limits.ratio);
}

/** Takes a token for a retry, if the call may still be retried. */
export function takeRetry(
    budget: RetryBudget,
    retriesOfCall: number,
    maxAttempts = 1 + maxRetriesPerCall,
): boolean {
    // Sums of 0.1 are not exact; ten calls must pay for one retry.
    if (retriesOfCall + 1 >= maxAttempts || budget.tokens < 1 - 1e-9) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

/** How an attempt ended without a complete response. */
export const AttemptFailure = {
    /** The other daemon refused the call as not run. */
    Refused: "refused",
    /** No byte of the request was written. */
    NeverWritten: "neverWritten",
    /** Something was written, and no response head came. */
    Lost: "lost",
    /** Part of the response was already passed on. */
    Truncated: "truncated",
} as const;
export type AttemptFailure = (typeof AttemptFailure)[keyof typeof AttemptFailure];

/** What the entry daemon does next. */
export const NextStep = {
    Retry: "retry",
    /** Ask the other daemon whether the call ran. */
    AskFate: "askFate",
    SayNotRun: "sayNotRun",
    SayUnknown: "sayUnknown",
    Reset: "reset",
} as const;
export type NextStep = (typeof NextStep)[keyof typeof NextStep];

export interface AttemptContext {
    readonly repeatable: boolean;
    /** Whether the request body can be sent again from its first byte. */
    readonly replayable: boolean;
    /** Whether the attempt went to another daemon, which can be asked. */
    readonly remote: boolean;
}

const stepByFailure = {
    [AttemptFailure.Refused]: ({ replayable }) => (replayable ? NextStep.Retry : NextStep.SayNotRun),
    [AttemptFailure.NeverWritten]: ({ replayable }) => (replayable ? NextStep.Retry : NextStep.SayNotRun),
    [AttemptFailure.Lost]: ({ repeatable, replayable, remote }) =>
        repeatable && replayable ? NextStep.Retry : remote ? NextStep.AskFate : NextStep.SayUnknown,
    [AttemptFailure.Truncated]: () => NextStep.Reset,
} satisfies Record<AttemptFailure, (context: AttemptContext) => NextStep>;

export function nextStepAfter(failure: AttemptFailure, context: AttemptContext): NextStep {
    return stepByFailure[failure](context);
}
