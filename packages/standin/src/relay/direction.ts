import type { Socket } from "node:net";

/** Chunks of up to 64 KiB that one direction holds before it stops reading. */
const maxHeldChunks = 128;

interface Held {
    /** Milliseconds by the monotonic clock, which no change of the system time moves. */
    readonly due: number;
    readonly act: () => void;
}

/** One direction of a relayed connection. */
export interface Direction {
    /** Passes nothing on, and stops reading, until it is resumed. */
    silence(): void;
    resume(): void;
}

/** Passes data, end and failure from one socket to the other, in order and with back-pressure. */
export function passBytes(
    from: Socket,
    to: Socket,
    delayMs: () => number,
    note: (bytes: number) => void,
): Direction {
    const held: Held[] = [];
    let silent = false;
    let blocked = false;
    let timer: NodeJS.Timeout | undefined;

    function hold(act: () => void): void {
        // A shorter delay that is set later must not let a chunk overtake an earlier one.
        const due = Math.max(held.at(-1)?.due ?? 0, performance.now() + delayMs());
        held.push({ due, act });
        passDue();
    }

    function passDue(): void {
        clearTimeout(timer);
        while (!silent && held[0] !== undefined && held[0].due <= performance.now()) {
            held.shift()?.act();
        }
        if (!silent && held[0] !== undefined) {
            timer = setTimeout(passDue, held[0].due - performance.now());
        }
        const reads = !silent && !blocked && held.length < maxHeldChunks;
        from[reads ? "resume" : "pause"]();
    }

    function write(chunk: Buffer): void {
        if (!to.destroyed && !to.write(chunk)) {
            blocked = true;
            to.once("drain", () => {
                blocked = false;
                passDue();
            });
        }
    }

    from.on("data", (chunk: Buffer) => {
        note(chunk.length);
        hold(() => write(chunk));
    });
    from.on("end", () => {
        // The event loop reports a reset that comes together with data as an end; only a connection that was not reset
        // still has a peer.
        const isReset = from.remoteAddress === undefined;
        hold(() => void (isReset ? to.resetAndDestroy() : to.end()));
    });
    from.on("error", () => to.resetAndDestroy());
    from.on("close", () => {
        if (to.destroyed) {
            held.length = 0;
            clearTimeout(timer);
        } else {
            hold(() => to.destroySoon());
        }
    });
    return {
        silence() {
            silent = true;
            passDue();
        },
        resume() {
            silent = false;
            passDue();
        },
    };
}
