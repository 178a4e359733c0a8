/** Limits the request bodies that a host receives concurrently, so that its link is used fully but does not queue data. */

/** Size of the window as transfer time on the link, in milliseconds: a few round trips between regions. */
const windowMs = 100;
/** Bodies received concurrently whatever their size, so that the link is not idle for a round trip between two bodies. */
const minConcurrentBodies = 2;
/** Maximum number of queued bodies. Each belongs to a call that waits at its entry daemon. */
export const maxWaitingBodies = 256;

export interface WaitingBody {
    readonly bytes: number;
    /** Priority of its call; 0 is the highest. */
    readonly priority: number;
}

/** Bodies that a host is receiving and bodies that wait to be sent to it. Only its owner modifies it. */
export interface BodyWindow {
    /** Bandwidth of the link, in bytes per millisecond. */
    readonly bytesPerMs: number;
    readonly receiving: Set<WaitingBody>;
    /** Sorted by priority, then by arrival. */
    readonly waiting: WaitingBody[];
}

/**
 * Creates the window of a link.
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

export const BodyAdmission = { Started: "now", Queued: "waits", Refused: "refused" } as const;
export type BodyAdmission = (typeof BodyAdmission)[keyof typeof BodyAdmission];

/** Adds a body to the window, queues it by priority, or refuses it when the queue is full. */
export function admitBody(window: BodyWindow, body: WaitingBody): BodyAdmission {
    if (window.waiting.length === 0 && fitsWindow(window, body)) {
        window.receiving.add(body);
        return BodyAdmission.Started;
    }
    if (window.waiting.length >= maxWaitingBodies) {
        return BodyAdmission.Refused;
    }
    const position = window.waiting.findIndex(other => other.priority > body.priority);
    window.waiting.splice(position < 0 ? window.waiting.length : position, 0, body);
    return BodyAdmission.Queued;
}

/** Removes a body from the window or the queue. Returns the queued bodies that enter the window in its place. */
export function releaseBody(window: BodyWindow, body: WaitingBody): readonly WaitingBody[] {
    window.receiving.delete(body);
    const index = window.waiting.indexOf(body);
    if (index >= 0) {
        window.waiting.splice(index, 1);
    }
    const next: WaitingBody[] = [];
    for (let first = window.waiting[0]; first !== undefined; first = window.waiting[0]) {
        if (!fitsWindow(window, first)) {
            break;
        }
        window.waiting.shift();
        window.receiving.add(first);
        next.push(first);
    }
    return next;
}

/**
 * Returns the time until a body of a priority may be sent, in milliseconds, behind all queued bodies of the same or a
 * higher priority. Its own transfer time does not count: it is the same on an idle link, and counting it would cause
 * a large body to be refused every time.
 */
export function bodyWaitMs(window: BodyWindow, { priority }: Pick<WaitingBody, "priority">): number {
    const ahead = window.waiting.filter(other => other.priority <= priority);
    return (totalBytes(window.receiving) + totalBytes(ahead)) / window.bytesPerMs;
}

/**
 * Returns the time after which a body leaves the window even if it has not been received completely, in milliseconds:
 * twice the transfer time of the window and the body. A slow sender does not use the link and must not block others.
 */
export function maxReceiveMs({ bytesPerMs }: BodyWindow, { bytes }: WaitingBody): number {
    return 2 * (windowMs + bytes / bytesPerMs);
}

function fitsWindow({ bytesPerMs, receiving }: BodyWindow, { bytes }: WaitingBody): boolean {
    return receiving.size < minConcurrentBodies || totalBytes(receiving) + bytes <= bytesPerMs * windowMs;
}

function totalBytes(bodies: Iterable<WaitingBody>): number {
    let sum = 0;
    for (const { bytes } of bodies) {
        sum += bytes;
    }
    return sum;
}
