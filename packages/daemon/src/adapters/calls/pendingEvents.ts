import { performance } from "node:perf_hooks";

/** Time within one turn of the event loop after which its poll counts as outdated, in milliseconds. */
const longTurnMs = 100;

/** Resolves at the end of the current turn of the event loop: after its poll, and before the poll of the next turn. */
export function endOfTurn(): Promise<void> {
    return new Promise(resolve => void setImmediate(resolve));
}

/**
 * Resolves after the events of the current turn of the event loop have been handled, and after one more poll if that took
 * long. After a long turn, the response that frees a slot may be read before the close of the caller that waits for this
 * slot, and during a long turn closes arrive that its poll did not read.
 */
export async function waitForPendingEvents(): Promise<void> {
    const startedAt = performance.now();
    await endOfTurn();
    if (performance.now() - startedAt > longTurnMs) {
        await endOfTurn();
    }
}
