/**
 * Delay before the next attempt after a number of failures in a row: doubled each time up to the longest
 * one, and spread over its upper half so that hosts do not retry at the same moment.
 *
 * @returns milliseconds
 */
export function backoffMs(
    failures: number,
    options: { initialMs: number; maxMs: number; random?: () => number },
): number {
    const { initialMs: firstMs, maxMs: longestMs, random = Math.random } = options;
    const delayMs = Math.min(longestMs, firstMs * 2 ** Math.max(0, failures - 1));
    return delayMs * (0.5 + random() / 2);
}
