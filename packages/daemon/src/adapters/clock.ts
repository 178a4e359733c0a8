import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";
import { steadyNow } from "../steadyClock.js";

/** Period of the ticks by which controllers measure time, in milliseconds. */
export const tickMs = 100;

/** Writes the `clock` section. A gap well above the period shows that the process was paused. */
export function createClock(board: Board): Closeable {
    const clock = board.claimValue("clock");
    const timer = setInterval(() => {
        const now = steadyNow();
        const gap = now - board.read("clock").now - tickMs;
        clock.write({ now, pausedForMs: Math.max(0, gap) });
    }, tickMs);
    return { close: () => clearInterval(timer) };
}
