/**
 * Resolves after the events of the current turn of the event loop have been handled. After a long turn, the response that
 * frees a slot may be read before the close of the caller that waits for this slot.
 */
export function waitForPendingEvents(): Promise<void> {
    return new Promise(resolve => void setImmediate(resolve));
}
