/**
 * Milliseconds since the epoch by a clock that never jumps: the time of day when the process started, and the time
 * that has passed since.
 */
export function steadyNow(): number {
    return Math.floor(performance.timeOrigin + performance.now());
}
