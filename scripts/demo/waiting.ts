import { setTimeout as sleep } from "node:timers/promises";

const pollIntervalMs = 25;

/** Polls until `check` returns true. Throws when the signal aborts or the timeout elapses. */
export async function waitUntil(
    condition: string,
    timeoutMs: number,
    signal: AbortSignal,
    check: () => Promise<boolean> | boolean,
): Promise<void> {
    const deadline = Date.now() + timeoutMs;
    while (!(await check())) {
        signal.throwIfAborted();
        if (Date.now() > deadline) {
            throw new Error(`timed out after ${timeoutMs} ms while waiting for: ${condition}`);
        }
        await sleep(pollIntervalMs, undefined, { signal });
    }
}
