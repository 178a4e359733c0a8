import type { Dispatcher } from "undici";
import type { Cancellation } from "./cancellation.js";
import type { Connections } from "./pools.js";
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

/** Receives a response. `write` returns false to pause; `resume` is called when it may go on. */
export interface ResponseSink {
    write(chunk: Buffer): boolean;
    onceWritable(resume: () => void): void;
    end(): void;
}

export interface ExchangeOptions {
    readonly connections: Connections;
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
    /** Without a sink the response is none of this call's, and its connection is discarded. */
    readonly onHead: (status: number, rawHeaders: string[]) => ResponseSink | undefined;
}

export interface ExchangeResult {
    readonly end: ExchangeEnd;
    /** The connection went silent or broke, so that its neighbours in the pool are suspect. */
    readonly silent: boolean;
    readonly error?: Error;
}

const foreign = new Error("the response belongs to another call or is malformed");
const cutShort = new Error("the connection was reset before the end of the response");
const silence = new Error("the connection made no progress within its limit");

/** State of one exchange. */
interface Progress {
    readonly options: ExchangeOptions;
    readonly resolve: (result: ExchangeResult) => void;
    /** Set when the first byte is about to be written. */
    controller: Dispatcher.DispatchController | undefined;
    /** Set when a response head has been passed on. */
    sink: ResponseSink | undefined;
    settled: boolean;
    /** Set when the response waited for its reader. */
    resume: (() => void) | undefined;
    timer: Timer | undefined;
    cancel: () => void;
}

/** Sends one request and passes on its response, each with back-pressure. */
export function exchange(options: ExchangeOptions): Promise<ExchangeResult> {
    return new Promise(resolve => {
        const progress: Progress = {
            options,
            resolve,
            controller: undefined,
            sink: undefined,
            settled: false,
            resume: undefined,
            timer: undefined,
            cancel: () => fail(progress, options.cancellation.reason as Error),
        };
        if (options.cancellation.cancelled) {
            return progress.cancel();
        }
        options.cancellation.onCancel(progress.cancel);
        try {
            options.connections.dispatcher.dispatch(requestOf(options), createHandler(progress));
        } catch (error) {
            fail(progress, error as Error);
        }
    });
}

function requestOf(options: ExchangeOptions): Dispatcher.DispatchOptions {
    return {
        method: options.method as Dispatcher.HttpMethod,
        path: options.path,
        headers: options.headers,
        body: options.body as never,
        headersTimeout: 0,
        bodyTimeout: 0,
    };
}

function settle(progress: Progress, end: ExchangeEnd, error?: Error): void {
    if (progress.settled) {
        return;
    }
    progress.settled = true;
    progress.timer?.cancel();
    if (progress.resume !== undefined) {
        progress.options.connections.paused.delete(progress.resume);
    }
    progress.options.cancellation.offCancel(progress.cancel);
    progress.resolve({ end, silent: error === silence, ...(error === undefined ? {} : { error }) });
}

/** Ends the exchange and discards its connection. */
function fail(progress: Progress, error: Error): void {
    const { sink, controller } = progress;
    const end =
        sink !== undefined
            ? ExchangeEnd.Truncated
            : controller !== undefined
              ? ExchangeEnd.Lost
              : ExchangeEnd.NeverWritten;
    settle(progress, end, error);
    controller?.abort(error);
}

/** Gives the connection up when nothing is heard on it within the limit. */
function watch(progress: Progress, limitMs: number): void {
    progress.timer?.cancel();
    if (limitMs > 0) {
        progress.timer = progress.options.timers.after(limitMs, () => fail(progress, silence));
    }
}

function createHandler(progress: Progress): Dispatcher.DispatchHandler {
    const { options } = progress;
    return {
        onRequestStart(started) {
            if (progress.settled || progress.controller !== undefined || !options.mayWrite()) {
                started.abort(new Error("the call may not be sent"));
                return;
            }
            progress.controller = started;
            watch(progress, options.headSilenceMs);
        },
        onResponseStart(started, status) {
            if (!progress.settled) {
                const raw = (started.rawHeaders ?? []) as (Buffer | string)[];
                takeHead(progress, status, raw);
            }
        },
        onResponseData(started, chunk) {
            if (!progress.settled && progress.sink !== undefined) {
                passData(progress, progress.sink, started, chunk);
            }
        },
        onResponseEnd() {
            if (progress.settled) {
                return;
            }
            if (options.connections.isCut) {
                fail(progress, cutShort);
                return;
            }
            progress.sink?.end();
            settle(progress, ExchangeEnd.Completed);
        },
        onResponseError: (_started, error) => fail(progress, error),
    };
}

function takeHead(progress: Progress, status: number, rawHeaders: readonly (Buffer | string)[]): void {
    const { options } = progress;
    if (status < 200) {
        options.onInformation(status);
        watch(progress, options.headSilenceMs);
        return;
    }
    const raw = rawHeaders.map(part => (typeof part === "string" ? part : part.toString("latin1")));
    const sink = options.onHead(status, raw);
    if (sink === undefined) {
        fail(progress, foreign);
        return;
    }
    progress.sink = sink;
    watch(progress, options.bodySilenceMs);
}

function passData(
    progress: Progress,
    sink: ResponseSink,
    started: Dispatcher.DispatchController,
    chunk: Buffer,
): void {
    const { bodySilenceMs, connections } = progress.options;
    watch(progress, bodySilenceMs);
    // The parser reports an empty chunk when it resumes with nothing left to read.
    if (chunk.length === 0 || sink.write(chunk)) {
        return;
    }
    const resume = () => {
        if (connections.paused.delete(resume) && !progress.settled) {
            watch(progress, bodySilenceMs);
            started.resume();
        }
    };
    progress.timer?.cancel();
    started.pause();
    connections.paused.add(resume);
    progress.resume = resume;
    sink.onceWritable(resume);
}
