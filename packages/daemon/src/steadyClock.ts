/**
 * Monotonic time in milliseconds since the epoch: the wall-clock time at the start of the process plus the time elapsed
 * since then. Adjustments of the system clock do not affect it.
 */
export function steadyNow(): number {
    return Math.floor(performance.timeOrigin + performance.now());
}
