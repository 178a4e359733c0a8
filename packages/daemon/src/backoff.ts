/**
 * Exponential backoff with jitter. The delay doubles with each consecutive failure up to `maxMs`. The result is a
 * random value between half of that delay and all of it, so that hosts do not retry simultaneously.
 *
 * @returns delay before the next attempt, in milliseconds
 */
export function backoffMs(
    failures: number,
    options: { initialMs: number; maxMs: number; random?: () => number },
): number {
    const { initialMs: firstMs, maxMs: longestMs, random = Math.random } = options;
    const delayMs = Math.min(longestMs, firstMs * 2 ** Math.max(0, failures - 1));
    return delayMs * (0.5 + random() / 2);
}
