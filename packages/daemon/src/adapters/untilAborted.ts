/**
 * Settles like the promise, but rejects with the reason of the signal as soon as it is aborted. The HTTP client library
 * notes an abort of a request that waits for a connection, and ends the request only when it gets one or gives up.
 *
 * @example
 * ```ts
 * const signal = AbortSignal.timeout(2_000);
 * const response = await untilAborted(signal, pool.request({ method: "GET", path: "/", signal }));
 * ```
 */
export async function untilAborted<T>(signal: AbortSignal, promise: Promise<T>): Promise<T> {
    let rejectWithReason = () => {};
    const aborted = new Promise<never>((_resolve, reject) => {
        rejectWithReason = () => reject(signal.reason as Error);
    });
    signal.addEventListener("abort", rejectWithReason);
    if (signal.aborted) {
        rejectWithReason();
    }
    try {
        return await Promise.race([promise, aborted]);
    } finally {
        signal.removeEventListener("abort", rejectWithReason);
    }
}
