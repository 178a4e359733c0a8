import type { IncomingMessage } from "node:http";
import type { Cancellation } from "./cancellation.js";
import { eagerBodyBytes, maxReplayableBodyBytes } from "./constants.js";

/** A request body that can be sent again from its first byte until it was committed. */
export interface RequestBody {
    /** Starts an attempt to send the body, or gives null when there is none. */
    open(): BodyAttempt;
    /** Takes what came with the head. A small body that is whole then is sent in one piece. */
    takeArrived(): Promise<void>;
    /** Reads a body whose limit is at most `maxReplayableBodyBytes`, so that one above it is found before it is sent. */
    countSmall(cancellation: Cancellation): Promise<void>;
    replayable(): boolean;
    /** Whether more bytes came than the operation allows. */
    tooLarge(): boolean;
    /** Drops the rest of the body, which must not stand in front of the connection's next request. */
    drop(): void;
}

export interface BodyAttempt {
    /** Length that the head names, while it is not known whether all of the body has arrived; otherwise 0. */
    readonly missingBytes: number;
    /** The body as it arrives, or in one piece. Taken once. */
    readonly chunks: AsyncIterable<Buffer> | Buffer | null;
    /** Reads the whole body, which then is in one piece. A read that fails shows up again when the body is sent. */
    receive(cancellation: Cancellation): Promise<void>;
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
const absentAttempt: BodyAttempt = {
    missingBytes: 0,
    chunks: null,
    receive: () => Promise.resolve(),
    commit: () => undefined,
    close: () => undefined,
};
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

/** The part of a request body that has come. */
interface ArrivedBody {
    /** Chunks that may be sent again. */
    readonly kept: Buffer[];
    received: number;
    ended: boolean;
    /** One read at a time; a read that an ended attempt started serves the next attempt. */
    pullMore(): Promise<void>;
    /** Reads up to the end, unless the call is cancelled. A read that fails shows up again when the body is sent. */
    readAll(cancellation: Cancellation): Promise<void>;
}

function createArrivedBody(iterator: AsyncIterator<Buffer>, maxBytes: number): ArrivedBody {
    let pull: Promise<void> | undefined;
    const arrived: ArrivedBody = {
        kept: [],
        received: 0,
        ended: false,
        pullMore() {
            pull ??= iterator
                .next()
                .then(result => {
                    if (result.done === true) {
                        arrived.ended = true;
                        return;
                    }
                    arrived.received += result.value.length;
                    if (arrived.received > maxBytes) {
                        throw new Error(`request body exceeds ${maxBytes} bytes`);
                    }
                    arrived.kept.push(result.value);
                })
                .finally(() => (pull = undefined));
            return pull;
        },
        async readAll(cancellation) {
            const aborted = new Promise<void>(resolve => cancellation.onCancel(resolve));
            let failed = false;
            while (!arrived.ended && !failed && !cancellation.cancelled) {
                const read = arrived.pullMore().catch(() => void (failed = true));
                await Promise.race([read, aborted]);
            }
        },
    };
    return arrived;
}

function createPresentBody(
    request: IncomingMessage,
    { declaredBytes = Infinity, maxBytes, repeatable }: RequestBodyOptions,
): RequestBody {
    const iterator = request.iterator({ destroyOnReturn: false }) as AsyncIterator<Buffer>;
    const body = createArrivedBody(iterator, maxBytes);
    const { kept } = body;
    /** A body so small that it is sent before the admission, when it came whole with the head. */
    let small: Buffer | undefined;
    let committed = false;
    let trimmed = false;

    async function takeArrived(): Promise<void> {
        const arrived = declaredBytes > maxReplayableBodyBytes ? noBytes : await readArrived(request);
        body.received += arrived.length;
        kept.push(arrived);
        const isSmall = body.received === declaredBytes && arrived.length <= eagerBodyBytes;
        small = isSmall ? arrived : undefined;
    }

    function open(): BodyAttempt {
        if (small !== undefined) {
            return { ...absentAttempt, chunks: small };
        }
        /** The body, when this attempt has received all of it. */
        let whole: Buffer | undefined;
        let openGate: () => void = () => undefined;
        const gate = new Promise<void>(resolve => (openGate = resolve));
        let closed = false;

        async function* send(): AsyncGenerator<Buffer> {
            let position = 0;
            let sent = 0;
            while (!closed) {
                const chunk = kept[position];
                if (chunk === undefined) {
                    if (body.ended) {
                        return;
                    }
                    await body.pullMore();
                    continue;
                }
                if (!committed && sent + chunk.length > eagerBodyBytes) {
                    if (sent < eagerBodyBytes) {
                        const cut = eagerBodyBytes - sent;
                        kept.splice(position, 1, chunk.subarray(0, cut), chunk.subarray(cut));
                    } else {
                        await gate;
                    }
                    continue;
                }
                position += 1;
                sent += chunk.length;
                if (committed && (!repeatable || body.received > maxReplayableBodyBytes)) {
                    trimmed = true;
                    kept.splice(0, position);
                    position = 0;
                }
                yield chunk;
            }
        }

        return {
            missingBytes: declaredBytes,
            get chunks() {
                return whole ?? send();
            },
            async receive(cancellation) {
                await body.readAll(cancellation);
                if (body.ended && body.received === declaredBytes) {
                    whole = Buffer.concat(kept);
                    kept.splice(0, kept.length, whole);
                }
            },
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
        if (maxBytes <= maxReplayableBodyBytes) {
            await body.readAll(cancellation);
        }
    }

    return {
        open,
        takeArrived,
        countSmall,
        replayable: () => !trimmed,
        tooLarge: () => body.received > maxBytes,
        drop: () => dropRest(request, iterator),
    };
}
