import { setTimeout as sleep } from "node:timers/promises";

const pollMs = 25;

/** Polls until the check holds. Throws when the signal aborts or the time is over. */
export async function waitUntil(
    what: string,
    timeoutMs: number,
    signal: AbortSignal,
    check: () => Promise<boolean> | boolean,
): Promise<void> {
    const end = Date.now() + timeoutMs;
    while (!(await check())) {
        signal.throwIfAborted();
        if (Date.now() > end) {
            throw new Error(`not within ${timeoutMs} ms: ${what}`);
        }
        await sleep(pollMs, undefined, { signal });
    }
}
