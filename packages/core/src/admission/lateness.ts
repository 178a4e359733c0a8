import { refusal, RefusalReason, type Refusal } from "../calls/refusal.js";

/**
 * Share of a call's deadline that may have passed when the daemon reads it. Calls that are read later are mostly answered
 * after their caller has given up, because each further daemon and backend server of an overloaded deployment is late too.
 */
const maxReadDelayShare = 0.25;

export interface CallReadTiming {
    /** Longest time that the call can have waited before it was read, in milliseconds. */
    readonly lateMs: number;
    /** Time from the arrival of the call until its deadline, in milliseconds. */
    readonly deadlineMs: number;
}

/**
 * Refuses a call that an overloaded daemon read too late. Forwarding it would delay the calls behind it too. A refusal
 * involves no other daemon and no backend server, so the daemon can catch up.
 *
 * @example
 * ```ts
 * refusalIfReadLate({ lateMs: 400, deadlineMs: 1_200 }); // { reason: "overloaded", retryAfterMs: 400 }
 * ```
 */
export function refusalIfReadLate({ lateMs, deadlineMs }: CallReadTiming): Refusal | undefined {
    if (lateMs >= deadlineMs) {
        return refusal(RefusalReason.DeadlinePassed);
    }
    return lateMs > maxReadDelayShare * deadlineMs ? refusal(RefusalReason.Overloaded, lateMs) : undefined;
}
