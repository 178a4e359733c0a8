import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import type { Board } from "../../board.js";
import type { Closeable } from "../../closeable.js";
import { steadyNow } from "../../steadyClock.js";

/** Tells how long a request that is read now can have waited in the buffers of its socket. */
export interface Arrivals extends Closeable {
    /** Notes a connection that is accepted now. */
    noteConnection(socket: Socket): void;
    /** Earliest instant at which a request that is read from the socket now can have arrived. */
    earliest(socket: Socket): number;
}

/** What is measured of the event loop. */
export interface EventLoop {
    /** Time that it has spent waiting for events since its start, in milliseconds. */
    idleMs(): number;
    /** Runs the task at the end of this turn. */
    atTurnEnd(task: () => void): void;
}

const ownLoop: EventLoop = {
    idleMs: () => performance.eventLoopUtilization().idle,
    atTurnEnd: task => void setImmediate(task).unref(),
};

export interface ArrivalsOptions {
    /**
     * Milliseconds since the epoch.
     * @default steadyNow
     */
    readonly now?: () => number;
    /** @default that of the process */
    readonly loop?: EventLoop;
}

/** End of a turn of the event loop. */
interface Turn {
    readonly endedAt: number;
    /** Time that the loop had spent waiting for events until then, in milliseconds since its start. */
    readonly idleMs: number;
}

/** Time between the polls of a connection and of its first request up to which they came together, in milliseconds. */
const longestAcceptMs = 500;
/** Waits below this are the measure's own noise, in milliseconds. */
const leastIdleMs = 0.5;

/**
 * Follows the turns of the event loop. Sockets are polled once a turn, so what is read in this turn has arrived since the
 * poll of the last one; if the loop waited for events since then, it has arrived after that wait. The first request of a
 * connection may have waited for the connection to be accepted, too.
 */
export function createArrivals(
    board: Board,
    { now = steadyNow, loop = ownLoop }: ArrivalsOptions = {},
): Arrivals {
    const endTurn = (): Turn => ({ endedAt: now(), idleMs: loop.idleMs() });
    let last = endTurn();
    let before = last;
    let pending = false;
    /** Earliest arrival of the connections that have not brought a request yet. */
    const accepted = new WeakMap<Socket, number>();

    function follow(): void {
        if (pending) {
            return;
        }
        pending = true;
        loop.atTurnEnd(() => {
            pending = false;
            before = last;
            last = endTurn();
        });
    }

    // Without calls the ticks of the clock keep the last turn recent.
    const subscription = board.observe(["clock"], follow);

    function lastPoll(): number {
        follow();
        const waitedMs = loop.idleMs() - last.idleMs;
        return waitedMs < leastIdleMs ? before.endedAt : Math.min(now(), last.endedAt + waitedMs);
    }

    return {
        noteConnection(socket) {
            accepted.set(socket, lastPoll());
        },
        earliest(socket) {
            const polledAt = lastPoll();
            const acceptedAt = accepted.get(socket) ?? polledAt;
            accepted.delete(socket);
            // A connection that stood idle before its first request says nothing of the request.
            return polledAt - acceptedAt < longestAcceptMs ? Math.min(acceptedAt, polledAt) : polledAt;
        },
        close: () => subscription.close(),
    };
}
