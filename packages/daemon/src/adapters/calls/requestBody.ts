import type { IncomingMessage } from "node:http";
import type { Cancellation } from "./cancellation.js";
import { keptBodyBytes } from "./constants.js";

/** A request body that can be sent again from its first byte until it was committed. */
export interface RequestBody {
    /** Starts an attempt to send the body, or gives null when there is none. */
    open(): BodyAttempt;
    /** Takes what came with the head. A small body that is whole then is sent in one piece. */
    takeArrived(): Promise<void>;
    /** Reads a body whose limit is at most `keptBodyBytes`, so that one above it is found before it is sent. */
    countSmall(cancellation: Cancellation): Promise<void>;
    replayable(): boolean;
    /** Whether more bytes came than the operation allows. */
    tooLarge(): boolean;
    /** Drops the rest of the body, which must not stand in front of the connection's next request. */
    drop(): void;
}

export interface BodyAttempt {
    readonly chunks: AsyncIterable<Buffer> | Buffer | null;
    /** The call was admitted: sends the rest, and forgets what was sent. */
    commit(): void;
    /** Ends the attempt. */
    close(): void;
}

export interface RequestBodyOptions {
    readonly hasBody: boolean;
    /** Length that the head names, if it does. */
    readonly declaredBytes: number | undefined;
    readonly maxBytes: number;
    /** Keeps a small body after admission too, since the call may be sent again. */
    readonly repeatable: boolean;
}

const noBytes = Buffer.alloc(0);
const absentAttempt: BodyAttempt = { chunks: null, commit: () => undefined, close: () => undefined };
const absentBody: RequestBody = {
    open: () => absentAttempt,
    takeArrived: () => Promise.resolve(),
    countSmall: () => Promise.resolve(),
    replayable: () => true,
    tooLarge: () => false,
    drop: () => undefined,
};

/** Reads a request body on demand, so that a slow receiver slows the caller down. */
export function createRequestBody(request: IncomingMessage, options: RequestBodyOptions): RequestBody {
    return options.hasBody ? createPresentBody(request, options) : absentBody;
}

/** The parser delivers the head before the rest of the same read. */
async function readArrived(request: IncomingMessage): Promise<Buffer> {
    await new Promise<void>(resolve => process.nextTick(resolve));
    return (request.read() as Buffer | null) ?? noBytes;
}

/** While the iterator listens, the request does not flow. It lets go when its pending read ends. */
function dropRest(request: IncomingMessage, iterator: AsyncIterator<Buffer>): void {
    if (!request.complete) {
        const resume = () => void request.resume();
        void iterator.return?.().then(resume, resume);
    }
}

function createPresentBody(
    request: IncomingMessage,
    { declaredBytes = Infinity, maxBytes, repeatable }: RequestBodyOptions,
): RequestBody {
    const iterator = request.iterator({ destroyOnReturn: false }) as AsyncIterator<Buffer>;
    const kept: Buffer[] = [];
    let whole: Buffer | undefined;
    let received = 0;
    let ended = false;
    let committed = false;
    let trimmed = false;
    let pull: Promise<void> | undefined;

    /** One read at a time; a read that an ended attempt started serves the next attempt. */
    function pullMore(): Promise<void> {
        pull ??= iterator
            .next()
            .then(result => {
                if (result.done === true) {
                    ended = true;
                    return;
                }
                received += result.value.length;
                if (received > maxBytes) {
                    throw new Error(`request body exceeds ${maxBytes} bytes`);
                }
                kept.push(result.value);
            })
            .finally(() => (pull = undefined));
        return pull;
    }

    async function takeArrived(): Promise<void> {
        const arrived = declaredBytes > keptBodyBytes ? noBytes : await readArrived(request);
        received += arrived.length;
        kept.push(arrived);
        whole = received === declaredBytes ? arrived : undefined;
    }

    function open(): BodyAttempt {
        if (whole !== undefined) {
            return { ...absentAttempt, chunks: whole };
        }
        let openGate: () => void = () => undefined;
        const gate = new Promise<void>(resolve => (openGate = resolve));
        let closed = false;

        async function* send(): AsyncGenerator<Buffer> {
            let position = 0;
            let sent = 0;
            while (!closed) {
                const chunk = kept[position];
                if (chunk === undefined) {
                    if (ended) {
                        return;
                    }
                    await pullMore();
                    continue;
                }
                if (!committed && sent + chunk.length > keptBodyBytes) {
                    await gate;
                    continue;
                }
                position += 1;
                sent += chunk.length;
                if (committed && (!repeatable || received > keptBodyBytes)) {
                    trimmed = true;
                    kept.splice(0, position);
                    position = 0;
                }
                yield chunk;
            }
        }

        return {
            chunks: send(),
            commit() {
                committed = true;
                openGate();
            },
            close() {
                closed = true;
                openGate();
            },
        };
    }

    async function countSmall(cancellation: Cancellation): Promise<void> {
        if (maxBytes > keptBodyBytes) {
            return;
        }
        const aborted = new Promise<void>(resolve => cancellation.onCancel(resolve));
        let failed = false;
        while (!ended && !failed && !cancellation.cancelled) {
            // A read that fails shows up again when the body is sent.
            const read = pullMore().catch(() => void (failed = true));
            await Promise.race([read, aborted]);
        }
    }

    return {
        open,
        takeArrived,
        countSmall,
        replayable: () => !trimmed,
        tooLarge: () => received > maxBytes,
        drop: () => dropRest(request, iterator),
    };
}
