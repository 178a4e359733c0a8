import type { IncomingMessage } from "node:http";
import type { Cancellation } from "./cancellation.js";
import { eagerBodyBytes, maxReplayableBodyBytes } from "./constants.js";

/** A request body that can be sent again from its first byte, at least until an attempt is committed. */
export interface RequestBody {
    /** Starts an attempt to send the body. */
    open(): BodyAttempt;
    /** Reads the part that arrived together with the head. If that is all of a small body, it is sent in one piece. */
    readBuffered(): Promise<void>;
    /** Reads a body whose limit is at most `maxReplayableBodyBytes`, so that a body above the limit is detected before it is sent. */
    enforceSmallLimit(cancellation: Cancellation): Promise<void>;
    replayable(): boolean;
    /** Whether more bytes were received than the operation allows. */
    tooLarge(): boolean;
    /** Reads and discards the rest of the body, so that the next request on the connection can be read. */
    drop(): void;
}

export interface BodyAttempt {
    /** `content-length` (or infinity) while the body may not have been received completely; otherwise 0. */
    readonly pendingBytes: number;
    /** The body as a stream or in one piece; `null` if there is none. Each read starts from the first byte. */
    readonly payload: AsyncIterable<Buffer> | Buffer | null;
    /** Receives the whole body, so that `payload` is in one piece. A read error is reported when the body is sent. */
    receiveAll(cancellation: Cancellation): Promise<void>;
    /** Called when the call is admitted: allows sending the rest, and releases chunks that need not be sent again. */
    commit(): void;
    close(): void;
}

export interface RequestBodyOptions {
    readonly hasBody: boolean;
    /** Value of `content-length`, if present. */
    readonly declaredBytes: number | undefined;
    readonly maxBytes: number;
    /** Retains a small body after admission too, because the call may be sent again. */
    readonly repeatable: boolean;
    /** Resolves after the next poll of all connections. */
    readonly nextPoll: () => Promise<void>;
}

const noBytes = Buffer.alloc(0);
const emptyBodyAttempt: BodyAttempt = {
    pendingBytes: 0,
    payload: null,
    receiveAll: () => Promise.resolve(),
    commit: () => undefined,
    close: () => undefined,
};
const emptyBody: RequestBody = {
    open: () => emptyBodyAttempt,
    readBuffered: () => Promise.resolve(),
    enforceSmallLimit: () => Promise.resolve(),
    replayable: () => true,
    tooLarge: () => false,
    drop: () => undefined,
};

/** Reads a request body on demand, so that back-pressure reaches the caller. */
export function createRequestBody(request: IncomingMessage, options: RequestBodyOptions): RequestBody {
    return options.hasBody ? createNonEmptyBody(request, options) : emptyBody;
}

/** Waits a tick, because the parser delivers the head before the body bytes of the same read. */
async function takeBufferedBytes(request: IncomingMessage): Promise<Buffer> {
    await new Promise<void>(resolve => process.nextTick(resolve));
    return (request.read() as Buffer | null) ?? noBytes;
}

/** The request cannot flow while the iterator is attached. The iterator detaches when its pending read ends. */
function discardRest(request: IncomingMessage, iterator: AsyncIterator<Buffer>): void {
    if (!request.complete) {
        const resume = () => void request.resume();
        void iterator.return?.().then(resume, resume);
    }
}

/** Reads a request body and retains what may have to be sent again. */
interface BodyReader {
    readonly retainedChunks: Buffer[];
    receivedBytes: number;
    ended: boolean;
    /** Reads the next chunk. Calls share a pending read, so a read that a closed attempt started serves the next one. */
    readNext(): Promise<void>;
    /** Reads up to the end, or until the call is cancelled. A read error is reported when the body is sent. */
    readAll(cancellation: Cancellation): Promise<void>;
}

function createBodyReader(iterator: AsyncIterator<Buffer>, maxBytes: number): BodyReader {
    let pendingRead: Promise<void> | undefined;
    const reader: BodyReader = {
        retainedChunks: [],
        receivedBytes: 0,
        ended: false,
        readNext() {
            pendingRead ??= iterator
                .next()
                .then(result => {
                    if (result.done === true) {
                        reader.ended = true;
                        return;
                    }
                    reader.receivedBytes += result.value.length;
                    if (reader.receivedBytes > maxBytes) {
                        throw new Error(`request body exceeds ${maxBytes} bytes`);
                    }
                    reader.retainedChunks.push(result.value);
                })
                .finally(() => (pendingRead = undefined));
            return pendingRead;
        },
        async readAll(cancellation) {
            const cancelled = new Promise<void>(resolve => cancellation.onCancel(resolve));
            let failed = false;
            while (!reader.ended && !failed && !cancellation.cancelled) {
                const read = reader.readNext().catch(() => void (failed = true));
                await Promise.race([read, cancelled]);
            }
        },
    };
    return reader;
}

/** Replaces the chunk at the index by two, the first of which has the given size. */
function splitChunk(chunks: Buffer[], index: number, bytes: number): void {
    const chunk = chunks[index] ?? noBytes;
    chunks.splice(index, 1, chunk.subarray(0, bytes), chunk.subarray(bytes));
}

function createNonEmptyBody(
    request: IncomingMessage,
    { declaredBytes = Infinity, maxBytes, repeatable, nextPoll }: RequestBodyOptions,
): RequestBody {
    const iterator = request.iterator({ destroyOnReturn: false }) as AsyncIterator<Buffer>;
    const reader = createBodyReader(iterator, maxBytes);
    const { retainedChunks } = reader;
    /** The body, if it is small enough to be sent before admission and arrived completely with the head. */
    let smallBody: Buffer | undefined;
    /** Whether the last attempt was admitted. An earlier one may have been, which a backend server then refused. */
    let committed = false;
    let hasReleasedChunks = false;

    async function readBuffered(): Promise<void> {
        const buffered = declaredBytes > maxReplayableBodyBytes ? noBytes : await takeBufferedBytes(request);
        reader.receivedBytes += buffered.length;
        retainedChunks.push(buffered);
        const isSmall = reader.receivedBytes === declaredBytes && buffered.length <= eagerBodyBytes;
        smallBody = isSmall ? buffered : undefined;
    }

    const isEnd = (chunk: Buffer) =>
        reader.receivedBytes === declaredBytes && chunk === retainedChunks.at(-1);

    function open(): BodyAttempt {
        if (smallBody !== undefined) {
            return { ...emptyBodyAttempt, payload: smallBody };
        }
        committed = false;
        /** The body, once this attempt has received all of it. */
        let completeBody: Buffer | undefined;
        let resumeSending: () => void = () => undefined;
        const committedOrClosed = new Promise<void>(resolve => (resumeSending = resolve));
        let closed = false;

        // A close that stands behind a body that was held back becomes visible only at the poll after the one that read the
        // end. Resolves to whether the attempt was closed meanwhile.
        const confirmCaller = () => committedOrClosed.then(nextPoll).then(() => closed);

        async function* send(): AsyncGenerator<Buffer> {
            let index = 0;
            let sentBytes = 0;
            while (!closed) {
                const chunk = retainedChunks[index];
                if (chunk === undefined) {
                    if (!reader.ended) {
                        await reader.readNext();
                        continue;
                    }
                    if (sentBytes > eagerBodyBytes && declaredBytes === Infinity) {
                        await confirmCaller();
                    }
                    return;
                }
                if (!committed && sentBytes + chunk.length > eagerBodyBytes) {
                    if (sentBytes < eagerBodyBytes) {
                        splitChunk(retainedChunks, index, eagerBodyBytes - sentBytes);
                    } else {
                        await committedOrClosed;
                    }
                    continue;
                }
                if (declaredBytes > eagerBodyBytes && isEnd(chunk) && (await confirmCaller())) {
                    return;
                }
                index += 1;
                sentBytes += chunk.length;
                if (committed && (!repeatable || reader.receivedBytes > maxReplayableBodyBytes)) {
                    hasReleasedChunks = true;
                    retainedChunks.splice(0, index);
                    index = 0;
                }
                yield chunk;
            }
        }

        return {
            pendingBytes: declaredBytes,
            get payload() {
                return completeBody ?? send();
            },
            async receiveAll(cancellation) {
                await reader.readAll(cancellation);
                if (reader.ended && reader.receivedBytes === declaredBytes) {
                    completeBody = Buffer.concat(retainedChunks);
                    retainedChunks.splice(0, retainedChunks.length, completeBody);
                }
            },
            commit() {
                committed = true;
                resumeSending();
            },
            close() {
                closed = true;
                resumeSending();
            },
        };
    }

    return {
        open,
        readBuffered,
        async enforceSmallLimit(cancellation) {
            if (maxBytes <= maxReplayableBodyBytes) {
                await reader.readAll(cancellation);
            }
        },
        replayable: () => !hasReleasedChunks,
        tooLarge: () => reader.receivedBytes > maxBytes,
        drop: () => discardRest(request, iterator),
    };
}
