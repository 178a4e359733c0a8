import { performance } from "node:perf_hooks";

/** Time within one turn of the event loop after which its poll counts as outdated, in milliseconds. */
export const longTurnMs = 100;

/** Time that the last awaited poll came after, in milliseconds of `performance.now()`. */
let lastPollAfter = -Infinity;

/** Resolves at the end of the current turn of the event loop: after its poll, and before the poll of the next turn. */
export function endOfTurn(): Promise<void> {
    return new Promise(resolve => void setImmediate(resolve));
}

/** Resolves after the next poll of all sockets, when its events have been handled. */
export async function waitForNextPoll(): Promise<void> {
    await endOfTurn();
    await endOfNextTurn();
}

async function endOfNextTurn(): Promise<void> {
    const endedAt = performance.now();
    await endOfTurn();
    lastPollAfter = Math.max(lastPollAfter, endedAt);
}

/** Returns an upper bound of the age of the last awaited poll whose events have been handled, in milliseconds. */
export function awaitedPollAgeMs(): number {
    return performance.now() - lastPollAfter;
}

export interface PendingEventsOptions {
    /**
     * Whether what is known is recent enough at the end of the turn, given whether the rest of the turn was short.
     * @default isTurnShort => isTurnShort
     */
    readonly isUpToDate?: (isTurnShort: boolean) => boolean;
    /**
     * Whether what is known now would be outdated at the end of the turn.
     * @default never
     */
    readonly wouldBeOutdated?: () => boolean;
}

/**
 * Resolves after the events of the current turn of the event loop have been handled, and after one more poll if what they
 * told is outdated by then. After a long turn, the response that frees a slot may be read before the close of the caller
 * that waits for this slot, and during a long turn closes arrive that its poll did not read.
 */
export async function waitForPendingEvents({
    isUpToDate = isTurnShort => isTurnShort,
    wouldBeOutdated = () => false,
}: PendingEventsOptions = {}): Promise<void> {
    if (wouldBeOutdated()) {
        return;
    }
    const startedAt = performance.now();
    await endOfTurn();
    if (!isUpToDate(performance.now() - startedAt <= longTurnMs)) {
        await endOfNextTurn();
    }
}
