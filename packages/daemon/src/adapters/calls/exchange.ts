import { attribute, Attribution, RejectionCause } from "@tanagertray/core";
import type { Dispatcher } from "undici";
import type { Cancellation } from "./cancellation.js";
import { canCarry, type Connection, type TrackedDispatchOptions } from "./connections.js";
import { maxBytesWithoutBody, maxRefusalBytes, maxResponseBytes, refusalBodyTimeoutMs } from "./constants.js";
import { headerValues } from "./headers.js";
import { waitForPendingEvents, type AwaitedPoll } from "./pendingEvents.js";
import type { ConnectionPool } from "./pools.js";
import { bodilessStatuses, rejectionCauseOf, type ReceivedHead } from "./receivedHead.js";
import { DispositionKind, type Disposition, type Rejection, type ResponseSink } from "./disposition.js";
import type { Timer, Timers } from "./timers.js";

export const ExchangeEnd = {
    Completed: "completed",
    /** No byte of the request was written. */
    NeverWritten: "neverWritten",
    /** The request was written, at least in part, but no response head was forwarded. */
    Lost: "lost",
    /** A response head was forwarded, but the response did not complete. */
    Truncated: "truncated",
} as const;
export type ExchangeEnd = (typeof ExchangeEnd)[keyof typeof ExchangeEnd];

export interface ExchangeOptions {
    /** If no pooled connection can carry the exchange, it gets a new one. */
    readonly connections: ConnectionPool;
    /** Id that the request carries and its response echoes; `undefined` if it carries none. */
    readonly id: string | undefined;
    /** Response header that echoes the id, in lower case. */
    readonly idHeader: string;
    /**
     * Whether the server is known to echo the id in every response. A response without it then comes from another program.
     * @default false
     */
    readonly requiresEchoedId?: boolean;
    readonly method: string;
    readonly path: string;
    readonly headers: string[];
    /**
     * Returns further headers once the events of the turn have been read, just before the request is sent.
     * @default none
     */
    readonly lateHeaders?: (poll: AwaitedPoll) => readonly string[];
    readonly body: AsyncIterable<Buffer> | Buffer | null;
    /** Ends the exchange early, for example because the caller disconnected or the deadline passed. */
    readonly cancellation: Cancellation;
    readonly timers: Timers;
    /** Limit of the time without data before the response head; 0 disables it, and only `cancellation` ends the wait. */
    readonly headIdleTimeoutMs: number;
    /** Called just before the first byte is written; returning false prevents that. */
    readonly mayWrite: () => boolean;
    readonly onInformationalResponse: (status: number) => void;
    /** Called with the head of a response that is known to belong to this exchange. */
    readonly onHead: (status: number, rawHeaders: string[]) => Disposition;
}

export interface ExchangeResult {
    readonly end: ExchangeEnd;
    /** Whether the connection reached its idle timeout, so that the others in the pool may be dead too. */
    readonly silent: boolean;
    readonly error?: Error;
    readonly rejection?: Rejection;
}

const rejectedResponseError = new Error("the response belongs to another exchange or is malformed");
const connectionResetError = new Error("the connection was reset before the response was complete");
const responseLimitError = new Error("the response exceeds its size or time limit");
const idleTimeoutError = new Error("no data was received within the idle timeout");
const unusableConnectionError = new Error("the pooled connection cannot carry this exchange");

type PolledOptions = ExchangeOptions & AwaitedPoll;

/** State of one exchange. */
interface Exchange {
    readonly options: PolledOptions;
    readonly resolve: (result: ExchangeResult) => void;
    getConnection: () => Connection | undefined;
    /** Set when the first byte is about to be written. */
    started: RequestState | undefined;
    /** Set once a response head has been forwarded. */
    sink: ResponseSink | undefined;
    /** Head of the final response, forwarded or not. */
    head: Rejection["head"];
    /** Whether the connection is closed after the exchange. */
    discardsConnection: boolean;
    /**
     * Whether the forwarded response ends with its head. The client library reports an error if such a head has a
     * `content-length` above 0, because it waits for that body.
     */
    endsWithHead: boolean;
    settled: boolean;
    timer: Timer | undefined;
    cancel: () => void;
}

/** State of a request that is being written or was written. */
interface RequestState {
    readonly controller: Dispatcher.DispatchController;
    readonly connection: Connection | undefined;
    readonly exchangesBefore: number;
    /** Bytes that the connection had received when the exchange started. */
    readonly receivedAtStart: number;
    /** Bytes that the connection had received at the last chunk of the response body. */
    receivedAtLastBodyChunk: number;
    /** Bytes of the connection that have been received and parsed. */
    parsedBytes: number;
    paused: boolean;
}

/** Sends one request and forwards its response, both with back-pressure. */
export async function exchange(options: ExchangeOptions): Promise<ExchangeResult> {
    const polledOptions = { ...options, ...(await waitForPendingEvents()) };
    if (options.id !== undefined) {
        const result = await exchangeOn(options.connections.dispatcher, polledOptions);
        if (result.error !== unusableConnectionError) {
            return result;
        }
    }
    const singleUse = options.connections.openSingleUse();
    const result = await exchangeOn(singleUse, polledOptions);
    void singleUse.close();
    return result;
}

function exchangeOn(dispatcher: Dispatcher, options: PolledOptions): Promise<ExchangeResult> {
    return new Promise(resolve => {
        const state: Exchange = {
            options,
            resolve,
            getConnection: () => undefined,
            started: undefined,
            sink: undefined,
            head: undefined,
            discardsConnection: false,
            endsWithHead: false,
            settled: false,
            timer: undefined,
            cancel: () => fail(state, options.cancellation.reason as Error, RejectionCause.CallEnded),
        };
        if (options.cancellation.cancelled) {
            return state.cancel();
        }
        options.cancellation.onCancel(state.cancel);
        try {
            dispatcher.dispatch(dispatchOptionsOf(state), createHandler(state));
        } catch (error) {
            fail(state, error as Error, RejectionCause.Broken);
        }
    });
}

function dispatchOptionsOf(state: Exchange): TrackedDispatchOptions {
    const { method, path, headers, lateHeaders, body } = state.options;
    return {
        method: method as Dispatcher.HttpMethod,
        path,
        headers: lateHeaders === undefined ? headers : [...headers, ...lateHeaders(state.options)],
        body: body as never,
        headersTimeout: 0,
        bodyTimeout: 0,
        setConnectionGetter: getConnection => (state.getConnection = getConnection),
    };
}

function settle(state: Exchange, result: Omit<ExchangeResult, "silent">): void {
    if (state.settled) {
        return;
    }
    state.settled = true;
    state.timer?.cancel();
    state.options.cancellation.offCancel(state.cancel);
    state.resolve({ ...result, silent: result.error === idleTimeoutError });
}

/** Ends the exchange with an error and closes its connection. */
function fail(state: Exchange, error: Error, cause: RejectionCause): void {
    const { sink, started } = state;
    const end =
        sink !== undefined
            ? ExchangeEnd.Truncated
            : started !== undefined
              ? ExchangeEnd.Lost
              : ExchangeEnd.NeverWritten;
    const rejection = started === undefined ? undefined : rejectionOf(state, started, cause);
    settle(state, { end, error, ...(rejection === undefined ? {} : { rejection }) });
    if (started?.connection !== undefined) {
        started.connection.onReadable = undefined;
        started.connection.resume = undefined;
    }
    started?.controller.abort(error);
}

/** Ends the forwarded response, or fails the exchange if the connection was reset before the response was complete. */
function complete(state: Exchange): void {
    if (state.settled) {
        return;
    }
    const connection = state.started?.connection;
    if (connection?.wasReset === true && !state.endsWithHead) {
        fail(state, connectionResetError, RejectionCause.Broken);
        return;
    }
    if (connection !== undefined) {
        connection.onReadable = undefined;
        connection.receivedAtLastEnd = connection.receivedBytes();
        if (state.discardsConnection) {
            connection.discard();
        }
    }
    state.sink?.end();
    settle(state, { end: ExchangeEnd.Completed });
}

/** Describes the received part of the response; `undefined` if no byte was received. */
function rejectionOf(state: Exchange, started: RequestState, cause: RejectionCause): Rejection | undefined {
    const { connection, exchangesBefore, receivedAtStart } = started;
    const bytes = (connection?.receivedBytes() ?? 0) - receivedAtStart;
    return bytes > 0 ? { cause, head: state.head, bytes, exchangesBefore } : undefined;
}

/** Fails the exchange if no data is received within the limit; 0 disables the limit. */
function restartIdleTimer(state: Exchange, limitMs: number): void {
    state.timer?.cancel();
    if (limitMs > 0) {
        state.timer = state.options.timers.after(limitMs, () =>
            fail(state, idleTimeoutError, RejectionCause.Stalled),
        );
    }
}

function createHandler(state: Exchange): Dispatcher.DispatchHandler {
    const { options } = state;
    return {
        onRequestStart: controller => begin(state, controller),
        onResponseStart(controller, status, _headers, reasonPhrase = "") {
            if (!state.settled && state.started !== undefined) {
                const raw = (controller.rawHeaders ?? []) as (Buffer | string)[];
                handleHead(state, state.started, { status, reasonPhrase, raw });
            }
        },
        onResponseData(_controller, chunk) {
            if (!state.settled && state.started !== undefined) {
                handleData(state, state.started, chunk);
            }
        },
        onResponseEnd: () => complete(state),
        onResponseError: (_controller, error) =>
            state.endsWithHead ? complete(state) : fail(state, error, RejectionCause.Broken),
    };

    function begin(state: Exchange, controller: Dispatcher.DispatchController): void {
        const connection = state.getConnection();
        if (state.settled || state.started !== undefined) {
            return controller.abort(new Error("the exchange has already started or ended"));
        }
        if (connection !== undefined && !canCarry(connection, options.id)) {
            return controller.abort(unusableConnectionError);
        }
        if (!options.mayWrite()) {
            return controller.abort(new Error("the call may no longer be sent"));
        }
        const received = connection?.receivedBytes() ?? 0;
        const started: RequestState = {
            controller,
            connection,
            exchangesBefore: connection?.exchangeCount ?? 0,
            receivedAtStart: received,
            receivedAtLastBodyChunk: received,
            parsedBytes: received,
            paused: false,
        };
        state.started = started;
        if (connection !== undefined) {
            connection.exchangeCount += 1;
            connection.exchangeIds.add(options.id ?? "");
            connection.onReadable = () => limitBytesWithoutBody(state, started, connection);
        }
        restartIdleTimer(state, options.headIdleTimeoutMs);
    }
}

/** Fails an exchange that receives too many bytes without a body chunk. Runs when bytes arrive, before they are parsed. */
function limitBytesWithoutBody(state: Exchange, started: RequestState, connection: Connection): void {
    if (!started.paused && started.parsedBytes - started.receivedAtLastBodyChunk > maxBytesWithoutBody) {
        fail(state, responseLimitError, RejectionCause.Unterminated);
        return;
    }
    started.parsedBytes = connection.receivedBytes();
}

const causeOfAttribution = {
    [Attribution.Matched]: undefined,
    [Attribution.First]: undefined,
    [Attribution.Mismatched]: RejectionCause.OtherExchange,
    [Attribution.Ambiguous]: RejectionCause.MissingId,
} satisfies Record<Attribution, RejectionCause | undefined>;

function handleHead(
    state: Exchange,
    started: RequestState,
    { status, reasonPhrase, raw: received }: ReceivedHead,
): void {
    const { options } = state;
    if (status < 200) {
        options.onInformationalResponse(status);
        restartIdleTimer(state, options.headIdleTimeoutMs);
        return;
    }
    const raw = received.map(part => (typeof part === "string" ? part : part.toString("latin1")));
    state.head = { status, raw };
    const echoedIds = headerValues(raw, options.idHeader);
    const byId = attribute({ sentId: options.id, echoedIds, exchangesBefore: started.exchangesBefore });
    const attribution = options.requiresEchoedId && byId === Attribution.First ? Attribution.Ambiguous : byId;
    const cause = causeOfAttribution[attribution] ?? rejectionCauseOf(reasonPhrase, raw);
    if (cause !== undefined) {
        fail(state, rejectedResponseError, cause);
        return;
    }
    // A late duplicate of a response without an id could not be told from the response to the next exchange.
    state.discardsConnection = attribution === Attribution.First;
    const disposition = options.onHead(status, raw);
    state.endsWithHead = disposition.kind === DispositionKind.Pass && bodilessStatuses.has(status);
    applyDisposition[disposition.kind](state, disposition as never);
}

const applyDisposition = {
    [DispositionKind.Pass](state, { sink }) {
        state.sink = sink;
        // A server may pause within its response for as long as the call has time, which `cancellation` limits.
        state.timer?.cancel();
    },
    [DispositionKind.Drop](state) {
        state.timer?.cancel();
        state.timer = state.options.timers.after(refusalBodyTimeoutMs, () =>
            fail(state, responseLimitError, RejectionCause.Unterminated),
        );
    },
    [DispositionKind.Reject]: state => fail(state, rejectedResponseError, RejectionCause.IncompleteHead),
} satisfies {
    [K in DispositionKind]: (state: Exchange, disposition: Extract<Disposition, { kind: K }>) => void;
};

function handleData(state: Exchange, started: RequestState, chunk: Buffer): void {
    const { sink } = state;
    const received = started.connection?.receivedBytes() ?? 0;
    started.receivedAtLastBodyChunk = received;
    const limit = sink === undefined ? maxRefusalBytes : maxResponseBytes;
    if (received - started.receivedAtStart > limit) {
        fail(state, responseLimitError, RejectionCause.TooLarge);
        return;
    }
    if (sink === undefined) {
        return;
    }
    // The parser reports an empty chunk when it resumes with nothing left to read.
    if (chunk.length > 0 && !sink.write(chunk)) {
        pause(state, started, sink);
    }
}

function pause(state: Exchange, started: RequestState, sink: ResponseSink): void {
    const { controller, connection } = started;
    const resume = () => {
        if (!started.paused || state.settled) {
            return;
        }
        const received = connection?.receivedBytes() ?? 0;
        // Bytes that were received during the pause have not been parsed yet.
        started.receivedAtLastBodyChunk = received;
        started.parsedBytes = received;
        started.paused = false;
        if (connection !== undefined) {
            connection.resume = undefined;
        }
        controller.resume();
    };
    started.paused = true;
    if (connection !== undefined) {
        connection.resume = resume;
    }
    controller.pause();
    sink.onceWritable(resume);
}
