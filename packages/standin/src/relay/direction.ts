import type { Socket } from "node:net";

/** Chunks of up to 64 KiB that one direction buffers before it stops reading. */
const maxPendingChunks = 128;

interface PendingAction {
    /** Milliseconds of the monotonic clock, which is not affected by changes of the system time. */
    readonly dueAt: number;
    readonly run: () => void;
}

/** One direction of a relayed connection. */
export interface Direction {
    /** Stops reading and forwarding until `resume` is called. */
    silence(): void;
    resume(): void;
}

/** Forwards data, end and errors from one socket to the other, in order and with backpressure. */
export function relayBytes(
    from: Socket,
    to: Socket,
    delayMs: () => number,
    countBytes: (bytes: number) => void,
): Direction {
    const pending: PendingAction[] = [];
    let isSilent = false;
    let isBlocked = false;
    let timer: NodeJS.Timeout | undefined;

    function schedule(run: () => void): void {
        // If the delay is shortened, later chunks must not overtake earlier ones.
        const dueAt = Math.max(pending.at(-1)?.dueAt ?? 0, performance.now() + delayMs());
        pending.push({ dueAt, run });
        runDueActions();
    }

    function runDueActions(): void {
        clearTimeout(timer);
        while (!isSilent && pending[0] !== undefined && pending[0].dueAt <= performance.now()) {
            pending.shift()?.run();
        }
        if (!isSilent && pending[0] !== undefined) {
            timer = setTimeout(runDueActions, pending[0].dueAt - performance.now());
        }
        const canRead = !isSilent && !isBlocked && pending.length < maxPendingChunks;
        from[canRead ? "resume" : "pause"]();
    }

    function write(chunk: Buffer): void {
        if (!to.destroyed && !to.write(chunk)) {
            isBlocked = true;
            to.once("drain", () => {
                isBlocked = false;
                runDueActions();
            });
        }
    }

    from.on("data", (chunk: Buffer) => {
        countBytes(chunk.length);
        schedule(() => write(chunk));
    });
    from.on("end", () => {
        // A reset that arrives together with data is reported as `end`; a socket that was reset no longer has a
        // remote address.
        const isReset = from.remoteAddress === undefined;
        schedule(() => void (isReset ? to.resetAndDestroy() : to.end()));
    });
    from.on("error", () => to.resetAndDestroy());
    from.on("close", () => {
        if (to.destroyed) {
            pending.length = 0;
            clearTimeout(timer);
        } else {
            schedule(() => to.destroySoon());
        }
    });
    return {
        silence() {
            isSilent = true;
            runDueActions();
        },
        resume() {
            isSilent = false;
            runDueActions();
        },
    };
}
