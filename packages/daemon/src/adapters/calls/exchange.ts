import { attribute, Attribution, RejectionCause } from "@tanagertray/core";
import type { Dispatcher } from "undici";
import type { Cancellation } from "./cancellation.js";
import { mayCarry, type Connection, type TracedDispatch } from "./connections.js";
import { maxBytesWithoutBody, maxRefusalBytes, maxResponseBytes, refusalBodyTimeoutMs } from "./constants.js";
import { headerValues } from "./headers.js";
import { waitForPendingEvents } from "./pendingEvents.js";
import type { Connections } from "./pools.js";
import { bodilessStatuses, causeInHead, type ReceivedHead } from "./receivedHead.js";
import { ReceptionKind, type Reception, type Rejection, type ResponseSink } from "./reception.js";
import type { Timer, Timers } from "./timers.js";

export const ExchangeEnd = {
    Completed: "completed",
    /** No byte was written. */
    NeverWritten: "neverWritten",
    /** Written, and no response head was passed on. */
    Lost: "lost",
    /** A response head was passed on, and the rest was lost. */
    Truncated: "truncated",
} as const;
export type ExchangeEnd = (typeof ExchangeEnd)[keyof typeof ExchangeEnd];

export interface ExchangeOptions {
    /** An exchange that no kept connection may carry gets a new one. */
    readonly connections: Connections;
    /** Id that the request carries and its response repeats; `undefined` when it carries none. */
    readonly id: string | undefined;
    /** Header by which responses repeat the id, in lower case. */
    readonly idHeader: string;
    /**
     * Whether the server is known to repeat the id in every response. One without it then comes from another program.
     * @default false
     */
    readonly namesAll?: boolean;
    readonly method: string;
    readonly path: string;
    readonly headers: string[];
    readonly body: AsyncIterable<Buffer> | Buffer | null;
    /** Ends the exchange: the caller left, or the deadline passed. */
    readonly cancellation: Cancellation;
    readonly timers: Timers;
    /** Silence before the response head, in milliseconds; 0 for no limit but the signal. */
    readonly headSilenceMs: number;
    readonly bodySilenceMs: number;
    /** Called just before the first byte is written; false forbids it. */
    readonly mayWrite: () => boolean;
    readonly onInformation: (status: number) => void;
    /** Called with a head that certainly belongs to this exchange. */
    readonly onHead: (status: number, rawHeaders: string[]) => Reception;
}

export interface ExchangeResult {
    readonly end: ExchangeEnd;
    /** The connection went silent or broke, so that its neighbours in the pool are suspect. */
    readonly silent: boolean;
    readonly error?: Error;
    readonly rejection?: Rejection;
}

const rejected = new Error("the response belongs to another exchange or is malformed");
const cutShort = new Error("the connection was reset before the end of the response");
const endless = new Error("the response has no end within its limit");
const silence = new Error("the connection made no progress within its limit");
const unusable = new Error("the connection may not carry this exchange");

/** State of one exchange. */
interface Progress {
    readonly options: ExchangeOptions;
    readonly resolve: (result: ExchangeResult) => void;
    currentConnection: () => Connection | undefined;
    /** Set when the first byte is about to be written. */
    started: Started | undefined;
    /** Set when a response head has been passed on. */
    sink: ResponseSink | undefined;
    /** The head of the response, passed on or not. */
    head: Rejection["head"];
    /** Whether the connection may not be used again. */
    discards: boolean;
    /** Whether the response that is passed on ends with its head. The client library misses a body that it names. */
    isWhole: boolean;
    settled: boolean;
    timer: Timer | undefined;
    cancel: () => void;
}

/** What is known of the connection of an exchange that was begun. */
interface Started {
    readonly controller: Dispatcher.DispatchController;
    readonly connection: Connection | undefined;
    readonly exchangesBefore: number;
    /** Bytes that the connection had received at its begin. */
    readonly receivedBefore: number;
    /** Bytes received when a part of the body came last. */
    receivedAtBody: number;
    /** Bytes received and parsed. */
    parsed: number;
    paused: boolean;
}

/** Sends one request and passes on its response, each with back-pressure. */
export async function exchange(options: ExchangeOptions): Promise<ExchangeResult> {
    await waitForPendingEvents();
    if (options.id !== undefined) {
        const result = await exchangeOn(options.connections.dispatcher, options);
        if (result.error !== unusable) {
            return result;
        }
    }
    const single = options.connections.openSingle();
    const result = await exchangeOn(single, options);
    void single.close();
    return result;
}

function exchangeOn(dispatcher: Dispatcher, options: ExchangeOptions): Promise<ExchangeResult> {
    return new Promise(resolve => {
        const progress: Progress = {
            options,
            resolve,
            currentConnection: () => undefined,
            started: undefined,
            sink: undefined,
            head: undefined,
            discards: false,
            isWhole: false,
            settled: false,
            timer: undefined,
            cancel: () => fail(progress, options.cancellation.reason as Error, RejectionCause.CallEnded),
        };
        if (options.cancellation.cancelled) {
            return progress.cancel();
        }
        options.cancellation.onCancel(progress.cancel);
        try {
            dispatcher.dispatch(requestOf(progress), createHandler(progress));
        } catch (error) {
            fail(progress, error as Error, RejectionCause.Broken);
        }
    });
}

function requestOf(progress: Progress): TracedDispatch {
    const { method, path, headers, body } = progress.options;
    return {
        method: method as Dispatcher.HttpMethod,
        path,
        headers,
        body: body as never,
        headersTimeout: 0,
        bodyTimeout: 0,
        traceConnection: current => (progress.currentConnection = current),
    };
}

function settle(progress: Progress, result: Omit<ExchangeResult, "silent">): void {
    if (progress.settled) {
        return;
    }
    progress.settled = true;
    progress.timer?.cancel();
    progress.options.cancellation.offCancel(progress.cancel);
    progress.resolve({ ...result, silent: result.error === silence });
}

/** Ends the exchange and discards its connection. */
function fail(progress: Progress, error: Error, cause: RejectionCause): void {
    const { sink, started } = progress;
    const end =
        sink !== undefined
            ? ExchangeEnd.Truncated
            : started !== undefined
              ? ExchangeEnd.Lost
              : ExchangeEnd.NeverWritten;
    const rejection = started === undefined ? undefined : rejectionOf(progress, started, cause);
    settle(progress, { end, error, ...(rejection === undefined ? {} : { rejection }) });
    if (started?.connection !== undefined) {
        started.connection.onReadable = undefined;
        started.connection.resume = undefined;
    }
    started?.controller.abort(error);
}

/** Passes on the end of a response, unless its connection was reset in front of it. */
function complete(progress: Progress): void {
    if (progress.settled) {
        return;
    }
    const connection = progress.started?.connection;
    if (connection?.isCut === true && !progress.isWhole) {
        fail(progress, cutShort, RejectionCause.Broken);
        return;
    }
    if (connection !== undefined) {
        connection.onReadable = undefined;
        connection.receivedAtEnd = connection.received();
        if (progress.discards) {
            connection.discard();
        }
    }
    progress.sink?.end();
    settle(progress, { end: ExchangeEnd.Completed });
}

/** Describes what came of the response; `undefined` when nothing did. */
function rejectionOf(progress: Progress, started: Started, cause: RejectionCause): Rejection | undefined {
    const { connection, exchangesBefore, receivedBefore } = started;
    const bytes = (connection?.received() ?? 0) - receivedBefore;
    return bytes > 0 ? { cause, head: progress.head, bytes, exchangesBefore } : undefined;
}

/** Gives the connection up when nothing is heard on it within the limit. */
function watch(progress: Progress, limitMs: number): void {
    progress.timer?.cancel();
    if (limitMs > 0) {
        progress.timer = progress.options.timers.after(limitMs, () =>
            fail(progress, silence, RejectionCause.Stalled),
        );
    }
}

function createHandler(progress: Progress): Dispatcher.DispatchHandler {
    const { options } = progress;
    return {
        onRequestStart: controller => begin(progress, controller),
        onResponseStart(controller, status, _headers, reasonPhrase = "") {
            if (!progress.settled && progress.started !== undefined) {
                const raw = (controller.rawHeaders ?? []) as (Buffer | string)[];
                takeHead(progress, progress.started, { status, reasonPhrase, raw });
            }
        },
        onResponseData(_controller, chunk) {
            if (!progress.settled && progress.started !== undefined) {
                takeData(progress, progress.started, chunk);
            }
        },
        onResponseEnd: () => complete(progress),
        onResponseError: (_controller, error) =>
            progress.isWhole ? complete(progress) : fail(progress, error, RejectionCause.Broken),
    };

    function begin(progress: Progress, controller: Dispatcher.DispatchController): void {
        const connection = progress.currentConnection();
        if (progress.settled || progress.started !== undefined) {
            return controller.abort(new Error("the exchange is over"));
        }
        if (connection !== undefined && !mayCarry(connection, options.id)) {
            return controller.abort(unusable);
        }
        if (!options.mayWrite()) {
            return controller.abort(new Error("the call may not be sent"));
        }
        const received = connection?.received() ?? 0;
        const started: Started = {
            controller,
            connection,
            exchangesBefore: connection?.exchanges ?? 0,
            receivedBefore: received,
            receivedAtBody: received,
            parsed: received,
            paused: false,
        };
        progress.started = started;
        if (connection !== undefined) {
            connection.exchanges += 1;
            connection.ids.add(options.id ?? "");
            connection.onReadable = () => boundBytes(progress, started, connection);
        }
        watch(progress, options.headSilenceMs);
    }
}

/** Ends an exchange whose response goes on without any of its body. Runs when bytes came, before they are parsed. */
function boundBytes(progress: Progress, started: Started, connection: Connection): void {
    if (!started.paused && started.parsed - started.receivedAtBody > maxBytesWithoutBody) {
        fail(progress, endless, RejectionCause.Unterminated);
        return;
    }
    started.parsed = connection.received();
}

const causes = {
    [Attribution.Matched]: undefined,
    [Attribution.First]: undefined,
    [Attribution.Mismatched]: RejectionCause.OtherExchange,
    [Attribution.Ambiguous]: RejectionCause.MissingId,
} satisfies Record<Attribution, RejectionCause | undefined>;

function takeHead(
    progress: Progress,
    started: Started,
    { status, reasonPhrase, raw: received }: ReceivedHead,
): void {
    const { options } = progress;
    if (status < 200) {
        options.onInformation(status);
        watch(progress, options.headSilenceMs);
        return;
    }
    const raw = received.map(part => (typeof part === "string" ? part : part.toString("latin1")));
    progress.head = { status, raw };
    const echoedIds = headerValues(raw, options.idHeader);
    const found = attribute({ sentId: options.id, echoedIds, exchangesBefore: started.exchangesBefore });
    const attribution = options.namesAll && found === Attribution.First ? Attribution.Ambiguous : found;
    const cause = causes[attribution] ?? causeInHead(reasonPhrase, raw);
    if (cause !== undefined) {
        fail(progress, rejected, cause);
        return;
    }
    // A late copy of a response without an id would be taken for the next one.
    progress.discards = attribution === Attribution.First;
    const reception = options.onHead(status, raw);
    progress.isWhole = reception.kind === ReceptionKind.Pass && bodilessStatuses.has(status);
    receive[reception.kind](progress, reception as never);
}

const receive = {
    [ReceptionKind.Pass](progress, { sink }) {
        progress.sink = sink;
        watch(progress, progress.options.bodySilenceMs);
    },
    [ReceptionKind.Drop](progress) {
        progress.timer?.cancel();
        progress.timer = progress.options.timers.after(refusalBodyTimeoutMs, () =>
            fail(progress, endless, RejectionCause.Unterminated),
        );
    },
    [ReceptionKind.Reject]: progress => fail(progress, rejected, RejectionCause.IncompleteHead),
} satisfies {
    [K in ReceptionKind]: (progress: Progress, reception: Extract<Reception, { kind: K }>) => void;
};

function takeData(progress: Progress, started: Started, chunk: Buffer): void {
    const { sink, options } = progress;
    const received = started.connection?.received() ?? 0;
    started.receivedAtBody = received;
    const limit = sink === undefined ? maxRefusalBytes : maxResponseBytes;
    if (received - started.receivedBefore > limit) {
        fail(progress, endless, RejectionCause.TooLarge);
        return;
    }
    if (sink === undefined) {
        return;
    }
    watch(progress, options.bodySilenceMs);
    // The parser reports an empty chunk when it resumes with nothing left to read.
    if (chunk.length > 0 && !sink.write(chunk)) {
        pause(progress, started, sink);
    }
}

function pause(progress: Progress, started: Started, sink: ResponseSink): void {
    const { controller, connection } = started;
    const resume = () => {
        if (!started.paused || progress.settled) {
            return;
        }
        const received = connection?.received() ?? 0;
        // What came meanwhile is still to be parsed.
        started.receivedAtBody = received;
        started.parsed = received;
        started.paused = false;
        if (connection !== undefined) {
            connection.resume = undefined;
        }
        watch(progress, progress.options.bodySilenceMs);
        controller.resume();
    };
    progress.timer?.cancel();
    started.paused = true;
    if (connection !== undefined) {
        connection.resume = resume;
    }
    controller.pause();
    sink.onceWritable(resume);
}
