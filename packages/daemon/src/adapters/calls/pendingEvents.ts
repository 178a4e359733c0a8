import { performance } from "node:perf_hooks";

/** Time within one turn of the event loop after which its poll counts as outdated, in milliseconds. */
const longTurnMs = 100;

/** What a wait for the end of a turn shows of the polls of the event loop. */
export interface AwaitedPoll {
    /**
     * Time that the last poll came after, in milliseconds of `performance.now()`. All events that happened before it have
     * been handled. `undefined` if only the poll of the turn in which the wait began has been handled.
     */
    readonly polledAfter: number | undefined;
}

/** Resolves at the end of the current turn of the event loop: after its poll, and before the poll of the next turn. */
export function endOfTurn(): Promise<void> {
    return new Promise(resolve => void setImmediate(resolve));
}

/** Resolves after the next poll of all sockets, when its events have been handled. */
export async function waitForNextPoll(): Promise<AwaitedPoll & { readonly polledAfter: number }> {
    await endOfTurn();
    const polledAfter = performance.now();
    await endOfTurn();
    return { polledAfter };
}

/**
 * Resolves after the events of the current turn of the event loop have been handled, and after one more poll if that took
 * long. After a long turn, the response that frees a slot may be read before the close of the caller that waits for this
 * slot, and during a long turn closes arrive that its poll did not read.
 */
export async function waitForPendingEvents(): Promise<AwaitedPoll> {
    const startedAt = performance.now();
    await endOfTurn();
    const endedAt = performance.now();
    if (endedAt - startedAt <= longTurnMs) {
        return { polledAfter: undefined };
    }
    await endOfTurn();
    return { polledAfter: endedAt };
}
