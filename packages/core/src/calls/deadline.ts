/** Deadlines of calls. Each hop forwards the remaining time, which is never more than it received. */

/** Maximum deadline that a caller may request, in milliseconds. */
export const maxDeadlineMs = 600_000;

/**
 * Parses the value of the `tanagertray-deadline-ms` header.
 *
 * @returns the milliseconds, or `undefined` if the text is not an integer between 1 and 600000
 */
export function parseDeadlineMs(text: string): number | undefined {
    const value = /^[0-9]{1,6}$/.test(text) ? Number(text) : 0;
    return value >= 1 && value <= maxDeadlineMs ? value : undefined;
}

/** Returns the time at which a call expires, according to the shorter of the operation's and the caller's deadline. */
export function deadlineAt(now: number, operationMs: number, requestedMs: number | undefined): number {
    return now + Math.min(operationMs, requestedMs ?? operationMs);
}

/** Returns the whole milliseconds that remain for the next hop. With 0 the call must not be sent. */
export function remainingMs(deadline: number, now: number): number {
    return Math.max(0, Math.floor(deadline - now));
}
