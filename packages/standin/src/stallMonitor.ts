/** Period of the timer; delays up to this length are ignored. */
const periodMs = 20;
/** Delays older than this are forgotten. */
const windowMs = 3_000;

export interface StallMonitor {
    /** Total time within the last 3 s during which the event loop did not run, in milliseconds. */
    recentMs(): number;
    close(): void;
}

/**
 * Measures how long the event loop of this process was stalled, because the process was paused or got no CPU time.
 * Data that the process reads may have arrived up to that much earlier.
 *
 * @example
 * ```ts
 * const stallMonitor = createStallMonitor();
 * const earliestArrival = Date.now() - stallMonitor.recentMs();
 * ```
 */
export function createStallMonitor(): StallMonitor {
    let delays: { readonly at: number; readonly ms: number }[] = [];
    let lastTick = performance.now();
    const timer = setInterval(() => {
        const now = performance.now();
        const delayMs = now - lastTick - periodMs;
        lastTick = now;
        if (delayMs > periodMs) {
            delays = [...delays.filter(({ at }) => at > now - windowMs), { at: now, ms: delayMs }];
        }
    }, periodMs).unref();
    return {
        recentMs() {
            const now = performance.now();
            const currentDelayMs = Math.max(0, now - lastTick - periodMs);
            return delays
                .filter(({ at }) => at > now - windowMs)
                .reduce((sum, { ms }) => sum + ms, currentDelayMs);
        },
        close: () => clearInterval(timer),
    };
}
