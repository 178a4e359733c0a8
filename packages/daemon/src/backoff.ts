/**
 * Delay before the next attempt after a number of failures in a row: doubled each time up to the longest
 * one, and spread over its upper half so that hosts do not retry at the same moment.
 *
 * @returns milliseconds
 */
export function backoffMs(
    failures: number,
    options: { firstMs: number; longestMs: number; random?: () => number },
): number {
    const { firstMs, longestMs, random = Math.random } = options;
    const full = Math.min(longestMs, firstMs * 2 ** Math.max(0, failures - 1));
    return full * (0.5 + random() / 2);
}
