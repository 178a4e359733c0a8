import { performance } from "node:perf_hooks";
import type { Board } from "../../board.js";
import type { Closeable } from "../../closeable.js";

/** Tells how long a request that is read now can have waited in the buffers of its socket. */
export interface Arrivals extends Closeable {
    /** Earliest instant at which a request that is read now can have arrived. */
    earliest(): number;
}

/** End of a turn of the event loop. */
interface Turn {
    readonly endedAt: number;
    /** Time that the loop had spent waiting for events until then, in milliseconds since its start. */
    readonly idleMs: number;
}

/** Waits below this are the measure's own noise, in milliseconds. */
const leastIdleMs = 0.5;

/**
 * Follows the turns of the event loop. Sockets are polled once a turn, so what is read in this turn has arrived since the
 * poll of the last one; if the loop waited for events since then, it has arrived after that wait.
 */
export function createArrivals(board: Board, now: () => number): Arrivals {
    const endTurn = (): Turn => ({ endedAt: now(), idleMs: performance.eventLoopUtilization().idle });
    let last = endTurn();
    let before = last;
    let pending: NodeJS.Immediate | undefined;

    function follow(): void {
        pending ??= setImmediate(() => {
            pending = undefined;
            before = last;
            last = endTurn();
        });
    }

    // Without calls the ticks of the clock keep the last turn recent.
    const subscription = board.observe(["clock"], follow);
    return {
        earliest() {
            follow();
            const waitedMs = performance.eventLoopUtilization().idle - last.idleMs;
            return waitedMs < leastIdleMs ? before.endedAt : Math.min(now(), last.endedAt + waitedMs);
        },
        close() {
            subscription.close();
            clearImmediate(pending);
        },
    };
}
