/** Ends the work of one call before its answer. Lighter than `AbortController`, which took a tenth of a call. */
export interface Cancellation {
    readonly cancelled: boolean;
    /** `undefined` until it was cancelled. */
    readonly reason: Error | undefined;
    /** The first reason counts. */
    cancel(reason: Error): void;
    onCancel(listener: () => void): void;
    offCancel(listener: () => void): void;
}

export function createCancellation(): Cancellation {
    const listeners: (() => void)[] = [];
    let reason: Error | undefined;
    return {
        get cancelled() {
            return reason !== undefined;
        },
        get reason() {
            return reason;
        },
        cancel(given) {
            if (reason === undefined) {
                reason = given;
                listeners.splice(0).forEach(listener => listener());
            }
        },
        onCancel(listener) {
            listeners.push(listener);
        },
        offCancel(listener) {
            const at = listeners.indexOf(listener);
            if (at >= 0) {
                listeners.splice(at, 1);
            }
        },
    };
}
