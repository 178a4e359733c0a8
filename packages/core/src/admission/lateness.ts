import { refusal, RefusalReason, type Refusal } from "../calls/refusal.js";

/**
 * Share of a call's time that may have passed when it is read. What is read later is mostly answered after its caller has
 * given up, because each further daemon and backend server of an overloaded deployment is late as well.
 */
const maxLateShare = 0.25;

export interface ReadCall {
    /** Time for which the call can have waited to be read, in milliseconds. */
    readonly lateMs: number;
    /** Time from its arrival until its deadline, in milliseconds. */
    readonly deadlineMs: number;
}

/**
 * Refuses a call that a busy daemon read too late. To carry it would make the calls behind it late too; a refusal needs
 * no other daemon and no backend server, so that the daemon catches up.
 *
 * @example
 * ```ts
 * refusalWhenLate({ lateMs: 400, deadlineMs: 1_200 }); // { reason: "overloaded", retryAfterMs: 400 }
 * ```
 */
export function refusalWhenLate({ lateMs, deadlineMs }: ReadCall): Refusal | undefined {
    if (lateMs >= deadlineMs) {
        return refusal(RefusalReason.DeadlinePassed);
    }
    return lateMs > maxLateShare * deadlineMs ? refusal(RefusalReason.Overloaded, lateMs) : undefined;
}
