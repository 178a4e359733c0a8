/** Deadlines shrink hop by hop: each hop passes on what is left, never more than it was given. */

/** Longest deadline that a caller may ask for, in milliseconds. */
export const maxDeadlineMs = 600_000;

/**
 * Reads the `tanagertray-deadline-ms` header.
 *
 * @returns the milliseconds, or `undefined` when the text is not a whole number between 1 and 600000
 */
export function parseDeadlineMs(text: string): number | undefined {
    const value = /^[0-9]{1,6}$/.test(text) ? Number(text) : 0;
    return value >= 1 && value <= maxDeadlineMs ? value : undefined;
}

/** Instant at which a call ends: the shorter of the operation's and the caller's deadline. */
export function deadlineAt(now: number, operationMs: number, askedMs: number | undefined): number {
    return now + Math.min(operationMs, askedMs ?? operationMs);
}

/** Whole milliseconds that are left for the next hop. Zero means that nothing may be sent. */
export function remainingMs(deadline: number, now: number): number {
    return Math.max(0, Math.floor(deadline - now));
}
