import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import type { Board } from "../../board.js";
import type { Closeable } from "../../closeable.js";
import { steadyNow } from "../../steadyClock.js";

/** Tells how long a request that is read now can have waited in the buffers of its socket. */
export interface Arrivals extends Closeable {
    /** Notes a connection that a listener accepts now; any object names the listener. */
    noteConnection(socket: Socket, listener?: object): void;
    /** Earliest instant at which a request that is read from the socket now can have arrived. */
    earliest(socket: Socket): number;
    /** Resolves once all sockets have been polled again. */
    polledAgain(): Promise<void>;
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
/**
 * Longest time for which a connection counts as having waited to be accepted, in milliseconds. While connections come in
 * every turn, how many others stood before one of them is not known; a caller that waited longer has mostly left.
 */
const longestQueuedMs = 1_000;
/** Waits below this are the measure's own noise, in milliseconds. */
const leastIdleMs = 0.5;

/** Connections that a listener accepted in turns that follow each other without a wait. */
interface AcceptedRow {
    /** Earliest arrival of its connections. */
    readonly since: number;
    /** Turn before the one in which the last of them was accepted. */
    readonly turn: Turn;
}

/** Connection that has not brought a request yet. */
interface Accepted {
    readonly polledAt: number;
    /** Earliest instant at which it can have begun to wait. */
    readonly since: number;
}

/**
 * Follows the turns of the event loop. Sockets are polled once a turn, so what is read in this turn has arrived since the
 * poll of the last one; if the loop waited for events since then, it has arrived after that wait. The first request of a
 * connection may have waited for the connection to be accepted, too: a listener accepts one connection in a turn, so one
 * that follows others without a wait of the loop may have stood behind all of them.
 */
export function createArrivals(
    board: Board,
    { now = steadyNow, loop = ownLoop }: ArrivalsOptions = {},
): Arrivals {
    const endTurn = (): Turn => ({ endedAt: now(), idleMs: loop.idleMs() });
    let last = endTurn();
    let before = last;
    let pending = false;
    const accepted = new WeakMap<Socket, Accepted>();
    const rows = new WeakMap<object, AcceptedRow>();
    const onlyListener = {};

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

    /** The poll of the last turn may have waited, too: what arrived before the end of that wait was read in that turn. */
    function pollOfLastTurn(): number {
        return Math.min(last.endedAt, before.endedAt + last.idleMs - before.idleMs);
    }

    function lastPoll(): number {
        follow();
        const waitedMs = loop.idleMs() - last.idleMs;
        return waitedMs < leastIdleMs ? pollOfLastTurn() : Math.min(now(), last.endedAt + waitedMs);
    }

    /** The row that a connection continues: the turn before this one accepted one too, and the loop has not waited. */
    function openRow(listener: object): AcceptedRow | undefined {
        const row = rows.get(listener);
        const isNext = row !== undefined && (row.turn === before || row.turn === last);
        return isNext && loop.idleMs() - last.idleMs < leastIdleMs ? row : undefined;
    }

    return {
        noteConnection(socket, listener = onlyListener) {
            const polledAt = lastPoll();
            const row = openRow(listener);
            const since = Math.max(row?.since ?? polledAt, now() - longestQueuedMs);
            rows.set(listener, { since: row?.since ?? polledAt, turn: last });
            accepted.set(socket, { polledAt, since: Math.min(since, polledAt) });
        },
        earliest(socket) {
            const polledAt = lastPoll();
            const connection = accepted.get(socket);
            accepted.delete(socket);
            // A connection that stood idle before its first request says nothing of the request.
            return connection !== undefined && polledAt - connection.polledAt < longestAcceptMs
                ? Math.min(connection.since, polledAt)
                : polledAt;
        },
        // The first task still belongs to the turn whose poll has been.
        polledAgain: () => new Promise(resolve => setImmediate(() => setImmediate(resolve))),
        close: () => subscription.close(),
    };
}
