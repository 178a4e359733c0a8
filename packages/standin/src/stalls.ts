/** Period of the timer, in milliseconds; shorter delays are not noticed. */
const periodMs = 20;
/** Time for which delays are remembered, in milliseconds. */
const windowMs = 3_000;

export interface Stalls {
    /** Time of the last seconds in which this process did not run, in milliseconds. */
    recentMs(): number;
    close(): void;
}

/**
 * Follows how late this process is, because it was paused or had no processor. What it reads may have waited so long.
 *
 * @example
 * ```ts
 * const stalls = createStalls();
 * const earliestArrival = Date.now() - stalls.recentMs();
 * ```
 */
export function createStalls(): Stalls {
    let delays: { readonly at: number; readonly ms: number }[] = [];
    let before = performance.now();
    const timer = setInterval(() => {
        const now = performance.now();
        const ms = now - before - periodMs;
        before = now;
        if (ms > periodMs) {
            delays = [...delays.filter(({ at }) => at > now - windowMs), { at: now, ms }];
        }
    }, periodMs).unref();
    return {
        recentMs() {
            const now = performance.now();
            const present = Math.max(0, now - before - periodMs);
            return delays.filter(({ at }) => at > now - windowMs).reduce((sum, { ms }) => sum + ms, present);
        },
        close: () => clearInterval(timer),
    };
}
