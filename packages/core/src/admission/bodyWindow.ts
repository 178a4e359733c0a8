/** Which request bodies a host receives at a time, so that its link is full but has no queue of its own. */

/** Time of the link's bandwidth that the bodies of a window take, in milliseconds: a few round trips between regions. */
const windowMs = 100;
/** Bodies that are received at a time in any case, so that the link does not stand idle for a round trip between two. */
const leastReceiving = 2;
/** Bodies that may wait for their turn; each is a call that waits at its entry daemon. */
export const maxWaitingBodies = 256;

export interface WaitingBody {
    readonly bytes: number;
    /** Rank of its call; 0 is the most urgent. */
    readonly priority: number;
}

/** Bodies that arrive at a host and those that wait to be sent. Its owner alone changes it. */
export interface BodyWindow {
    /** Bytes that the link carries in a millisecond. */
    readonly bytesPerMs: number;
    readonly receiving: Set<WaitingBody>;
    /** The most urgent first, and those of one rank in the order of their arrival. */
    readonly waiting: WaitingBody[];
}

/**
 * Opens the window of a link.
 *
 * @param linkMbps - bandwidth of the link, in megabits per second
 * @example
 * ```ts
 * const window = createBodyWindow(8); // receives 100 kB at a time
 * ```
 */
export function createBodyWindow(linkMbps: number): BodyWindow {
    return { bytesPerMs: (linkMbps * 1_000) / 8, receiving: new Set(), waiting: [] };
}

export const BodyTurn = { Now: "now", Waits: "waits", Refused: "refused" } as const;
export type BodyTurn = (typeof BodyTurn)[keyof typeof BodyTurn];

/** Takes a body into the window, or puts it behind those that wait. */
export function requestBody(window: BodyWindow, body: WaitingBody): BodyTurn {
    if (window.waiting.length === 0 && hasRoom(window, body)) {
        window.receiving.add(body);
        return BodyTurn.Now;
    }
    if (window.waiting.length >= maxWaitingBodies) {
        return BodyTurn.Refused;
    }
    const behind = window.waiting.findIndex(other => other.priority > body.priority);
    window.waiting.splice(behind < 0 ? window.waiting.length : behind, 0, body);
    return BodyTurn.Waits;
}

/** Ends the turn of a body, or its wait; returns those whose turn begins. */
export function releaseBody(window: BodyWindow, body: WaitingBody): readonly WaitingBody[] {
    window.receiving.delete(body);
    const at = window.waiting.indexOf(body);
    if (at >= 0) {
        window.waiting.splice(at, 1);
    }
    const next: WaitingBody[] = [];
    for (let first = window.waiting[0]; first !== undefined; first = window.waiting[0]) {
        if (!hasRoom(window, first)) {
            break;
        }
        window.waiting.shift();
        window.receiving.add(first);
        next.push(first);
    }
    return next;
}

/**
 * Time for which a body waits for the link, behind all that are as urgent, in milliseconds. Its own transfer does not count:
 * it takes as long on an idle link, and a large body would be refused for ever.
 */
export function bodyWaitMs(window: BodyWindow, { priority }: Pick<WaitingBody, "priority">): number {
    const ahead = window.waiting.filter(other => other.priority <= priority);
    return (sizeOf(window.receiving) + sizeOf(ahead)) / window.bytesPerMs;
}

/**
 * Time after which a body leaves the window although it has not arrived, in milliseconds: twice the time for the window and
 * the body. A caller that sends slowly does not use the link, and must not keep it from others.
 */
export function longestTurnMs({ bytesPerMs }: BodyWindow, { bytes }: WaitingBody): number {
    return 2 * (windowMs + bytes / bytesPerMs);
}

function hasRoom({ bytesPerMs, receiving }: BodyWindow, { bytes }: WaitingBody): boolean {
    return receiving.size < leastReceiving || sizeOf(receiving) + bytes <= bytesPerMs * windowMs;
}

function sizeOf(bodies: Iterable<WaitingBody>): number {
    let sum = 0;
    for (const { bytes } of bodies) {
        sum += bytes;
    }
    return sum;
}
