/**
 * Resolves when the events that came in this turn of the event loop have been read. After a long turn, the answer that frees
 * a slot may be read before the close of the caller that waits for it.
 */
export function untilEventsRead(): Promise<void> {
    return new Promise(resolve => void setImmediate(resolve));
}
