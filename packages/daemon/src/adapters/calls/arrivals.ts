import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import type { Board } from "../../board.js";
import type { Closeable } from "../../closeable.js";
import { steadyNow } from "../../steadyClock.js";
import { waitForNextPoll } from "./pendingEvents.js";

/** Estimates when requests arrived, which may have waited in the socket buffers before they were read. */
export interface Arrivals extends Closeable {
    /** Records a connection when its listener accepts it; any object can identify the listener. */
    noteConnection(socket: Socket, listener?: object): void;
    /** Earliest possible arrival of a request that is read from the socket now. */
    earliest(socket: Socket): number;
    /** Earliest possible arrival of anything else that is read now, such as the end of a connection. */
    lastPoll(): number;
    /** Time that the loop was busy in the last turn, in milliseconds: how long the rest of this one may take. */
    lastTurnMs(): number;
    /** Resolves after the next poll of all sockets. */
    nextPoll(): Promise<void>;
}

/** Measurements and hooks of the event loop. */
export interface EventLoop {
    /** Time spent waiting for events since the start of the loop, in milliseconds. */
    idleMs(): number;
    /** Runs the task at the end of the current turn. */
    atTurnEnd(task: () => void): void;
}

const processLoop: EventLoop = {
    idleMs: () => performance.eventLoopUtilization().idle,
    atTurnEnd: task => void setImmediate(task).unref(),
};

export interface ArrivalsOptions {
    /**
     * Milliseconds since the epoch.
     * @default steadyNow
     */
    readonly now?: () => number;
    /** @default the event loop of this process */
    readonly loop?: EventLoop;
}

/** End of a turn of the event loop. */
interface Turn {
    readonly endedAt: number;
    /** Idle time of the loop up to `endedAt`, in milliseconds since its start. */
    readonly idleMs: number;
}

/**
 * Longest time between the polls of a connection and of its first request, in milliseconds, for which the request counts
 * as sent with the connection.
 */
const maxFirstRequestDelayMs = 500;
/**
 * Upper bound of the estimated wait in the accept queue, in milliseconds. While connections are accepted in every turn, the
 * queue position of each is unknown, and most callers that waited longer have left.
 */
const maxAcceptWaitMs = 1_000;
/** Idle times below this are measurement noise, in milliseconds. */
const minIdleMs = 0.5;
/** Work between two recorded turns from which on the next turn is recorded, too, in milliseconds. */
const longTurnMs = 10;

/** Time between the ends of two turns that was not spent waiting for events, in milliseconds. */
function workMs(from: Turn, to: Turn): number {
    return to.endedAt - from.endedAt - (to.idleMs - from.idleMs);
}

/** Connections that a listener accepted in consecutive turns, without an idle wait between them. */
interface AcceptBurst {
    /** Earliest possible arrival of these connections. */
    readonly earliestArrival: number;
    /** Turn before the one that accepted the last of them. */
    readonly turn: Turn;
}

/** Connection on which no request has been read yet. */
interface NewConnection {
    readonly polledAt: number;
    /** Idle time of the loop when the connection was accepted, in milliseconds since its start. */
    readonly idleMs: number;
    /** Earliest time at which it can have entered the accept queue. */
    readonly earliestArrival: number;
}

/**
 * Estimates arrivals from the turns of the event loop. Sockets are polled once in each turn, so data that is read in this
 * turn arrived after the poll of the previous turn, and after the idle wait if there was one since. The first request of a
 * connection may also have waited in the accept queue: a listener accepts one connection in each turn, so a connection
 * that was accepted after others without an idle wait may have been queued behind all of them.
 */
export function createArrivals(
    board: Board,
    { now = steadyNow, loop = processLoop }: ArrivalsOptions = {},
): Arrivals {
    const readTurn = (): Turn => ({ endedAt: now(), idleMs: loop.idleMs() });
    let lastTurn = readTurn();
    let previousTurn = lastTurn;
    let isTurnEndScheduled = false;
    const newConnections = new WeakMap<Socket, NewConnection>();
    const bursts = new WeakMap<object, AcceptBurst>();
    const defaultListener = {};

    function scheduleTurnEnd(): void {
        if (isTurnEndScheduled) {
            return;
        }
        isTurnEndScheduled = true;
        loop.atTurnEnd(() => {
            isTurnEndScheduled = false;
            previousTurn = lastTurn;
            lastTurn = readTurn();
            // Arrivals are estimated from two turns in a row. The ticks of the clock come too seldom for that while turns
            // are long, and a loop with so much to do does not wait. This ends with the first short turn.
            if (workMs(previousTurn, lastTurn) >= longTurnMs) {
                scheduleTurnEnd();
            }
        });
    }

    // The ticks of the clock keep the last turn recent while there are no calls.
    const subscription = board.observe(["clock"], scheduleTurnEnd);

    /** Time of the poll in the last turn. That poll may have waited, and read what arrived before the end of its wait. */
    function lastTurnPoll(): number {
        return Math.min(lastTurn.endedAt, previousTurn.endedAt + lastTurn.idleMs - previousTurn.idleMs);
    }

    function lastPoll(): number {
        scheduleTurnEnd();
        const waitedMs = loop.idleMs() - lastTurn.idleMs;
        return waitedMs < minIdleMs ? lastTurnPoll() : Math.min(now(), lastTurn.endedAt + waitedMs);
    }

    /** Burst that a new connection continues: the previous turn accepted one, too, and the loop was not idle since. */
    function currentBurst(listener: object): AcceptBurst | undefined {
        const burst = bursts.get(listener);
        const isNext = burst !== undefined && (burst.turn === previousTurn || burst.turn === lastTurn);
        return isNext && loop.idleMs() - lastTurn.idleMs < minIdleMs ? burst : undefined;
    }

    return {
        noteConnection(socket, listener = defaultListener) {
            const polledAt = lastPoll();
            const burst = currentBurst(listener);
            const earliestArrival = Math.max(burst?.earliestArrival ?? polledAt, now() - maxAcceptWaitMs);
            bursts.set(listener, { earliestArrival: burst?.earliestArrival ?? polledAt, turn: lastTurn });
            newConnections.set(socket, {
                polledAt,
                idleMs: loop.idleMs(),
                earliestArrival: Math.min(earliestArrival, polledAt),
            });
        },
        earliest(socket) {
            const polledAt = lastPoll();
            const connection = newConnections.get(socket);
            newConnections.delete(socket);
            // On a connection that was idle before its first request, the request did not wait in the accept queue.
            const wasSentWithConnection =
                connection !== undefined &&
                polledAt - connection.polledAt < maxFirstRequestDelayMs &&
                loop.idleMs() - connection.idleMs < minIdleMs;
            return wasSentWithConnection ? Math.min(connection.earliestArrival, polledAt) : polledAt;
        },
        lastPoll,
        lastTurnMs: () => lastTurn.endedAt - lastTurnPoll(),
        nextPoll: waitForNextPoll,
        close: () => subscription.close(),
    };
}
