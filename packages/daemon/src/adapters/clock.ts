import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";
import { steadyNow } from "../steadyClock.js";

/** Interval of the clock ticks on which controllers act, in milliseconds. */
export const tickMs = 100;

/** Writes the `clock` section on every tick. A tick that is long overdue shows that the process was paused. */
export function createClock(board: Board): Closeable {
    const clock = board.claimValue("clock");
    const timer = setInterval(() => {
        const now = steadyNow();
        const gap = now - board.read("clock").now - tickMs;
        clock.write({ now, pausedForMs: Math.max(0, gap) });
    }, tickMs);
    return { close: () => clearInterval(timer) };
}
