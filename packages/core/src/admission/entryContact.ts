/**
 * What a host knows of the daemon at which callers entered. An entry daemon that is too busy to read anything does not know
 * that a caller has left, and a call of that caller would run for nobody.
 */
export interface EntryContact {
    /**
     * Latest time by which the entry daemon is known to have noticed the callers that had left, in milliseconds since the
     * epoch by the clock of this host.
     */
    readonly confirmedAt: number;
}

/** What a host knows of the caller of one call. */
export interface CallerContact {
    /** Shared by all calls that entered at the same daemon. */
    readonly entry: EntryContact;
    /** Latest time at which the call itself shows that its caller was connected, in milliseconds since the epoch. */
    readonly seenAt: number;
    /**
     * Time from which on the entry daemon reads from the caller's connection without a pause, in milliseconds since the
     * epoch; infinity if it may still be paused. It does not notice a close that stands behind a part of the body that it
     * has not read.
     */
    readonly watchedSince: number;
}

/**
 * Age of the last sign of a caller above which its call is not sent, in milliseconds. A backend server should not be reached
 * half a second after the caller left; the rest is for the way between the hosts and to the backend server.
 */
export const maxConfirmationAgeMs = 450;

/**
 * Latest time at which the caller is known to have been connected.
 *
 * @returns milliseconds since the epoch
 * @example
 * ```ts
 * callerSeenAt({ entry: { confirmedAt: 1_200 }, seenAt: 1_000, watchedSince: 900 }); // 1200
 * callerSeenAt({ entry: { confirmedAt: 1_200 }, seenAt: 1_000, watchedSince: 1_300 }); // 1000
 * ```
 */
export function callerSeenAt({ entry, seenAt, watchedSince }: CallerContact): number {
    return entry.confirmedAt >= watchedSince ? Math.max(entry.confirmedAt, seenAt) : seenAt;
}

/**
 * Whether the last sign of the caller is recent enough to send its call.
 *
 * @param now - milliseconds since the epoch
 * @example
 * ```ts
 * const caller = { entry: { confirmedAt: 1_000 }, seenAt: 1_000, watchedSince: 0 };
 * isCallerConfirmed(caller, 1_450); // true
 * isCallerConfirmed(caller, 1_451); // false
 * ```
 */
export function isCallerConfirmed(caller: CallerContact, now: number): boolean {
    return now - callerSeenAt(caller) <= maxConfirmationAgeMs;
}
