import type { Dispatcher } from "undici";

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
    readonly dispatcher: Dispatcher;
    readonly method: string;
    readonly path: string;
    readonly headers: string[];
    readonly body: AsyncIterable<Buffer> | null;
    /** Ends the exchange: the caller left, or the deadline passed. */
    readonly signal: AbortSignal;
    /** Silence before the response head, in milliseconds; 0 for no limit but the signal. */
    readonly headSilenceMs: number;
    readonly bodySilenceMs: number;
    /** Called just before the first byte is written; false forbids it. */
    readonly mayWrite: () => boolean;
    readonly onInformation: (status: number) => void;
    readonly onHead: (status: number, rawHeaders: string[]) => ResponseSink;
}

export interface ExchangeResult {
    readonly end: ExchangeEnd;
    /** The connection went silent or broke, so that its neighbours in the pool are suspect. */
    readonly silent: boolean;
    readonly error?: Error;
}

const silence = new Error("the connection made no progress within its limit");

/** Sends one request and passes on its response, each with back-pressure. */
export function exchange(options: ExchangeOptions): Promise<ExchangeResult> {
    return new Promise(resolve => {
        let controller: Dispatcher.DispatchController | undefined;
        let sink: ResponseSink | undefined;
        let settled = false;
        let timer: NodeJS.Timeout | undefined;

        function settle(end: ExchangeEnd, error?: Error): void {
            if (settled) {
                return;
            }
            settled = true;
            clearTimeout(timer);
            options.signal.removeEventListener("abort", cancel);
            resolve({ end, silent: error === silence, ...(error === undefined ? {} : { error }) });
        }

        function fail(error: Error): void {
            const end =
                sink !== undefined
                    ? ExchangeEnd.Truncated
                    : controller !== undefined
                      ? ExchangeEnd.Lost
                      : ExchangeEnd.NeverWritten;
            settle(end, error);
            controller?.abort(error);
        }

        function cancel(): void {
            fail(options.signal.reason as Error);
        }

        function watch(limitMs: number): void {
            clearTimeout(timer);
            if (limitMs > 0) {
                timer = setTimeout(() => fail(silence), limitMs);
            }
        }

        const handler: Dispatcher.DispatchHandler = {
            onRequestStart(started) {
                if (settled || controller !== undefined || !options.mayWrite()) {
                    started.abort(new Error("the call may not be sent"));
                    return;
                }
                controller = started;
                watch(options.headSilenceMs);
            },
            onResponseStart(started, status) {
                if (settled) {
                    return;
                }
                if (status < 200) {
                    options.onInformation(status);
                    watch(options.headSilenceMs);
                    return;
                }
                const raw = (started.rawHeaders ?? []) as (Buffer | string)[];
                sink = options.onHead(
                    status,
                    raw.map(part => (typeof part === "string" ? part : part.toString("latin1"))),
                );
                watch(options.bodySilenceMs);
            },
            onResponseData(started, chunk) {
                if (settled || sink === undefined) {
                    return;
                }
                watch(options.bodySilenceMs);
                if (!sink.write(chunk)) {
                    clearTimeout(timer);
                    started.pause();
                    sink.onceWritable(() => {
                        if (!settled) {
                            watch(options.bodySilenceMs);
                            started.resume();
                        }
                    });
                }
            },
            onResponseEnd() {
                if (!settled) {
                    sink?.end();
                    settle(ExchangeEnd.Completed);
                }
            },
            onResponseError(_started, error) {
                fail(error);
            },
        };

        if (options.signal.aborted) {
            return cancel();
        }
        options.signal.addEventListener("abort", cancel, { once: true });
        try {
            options.dispatcher.dispatch(
                {
                    method: options.method as Dispatcher.HttpMethod,
                    path: options.path,
                    headers: options.headers,
                    body: options.body as never,
                    headersTimeout: 0,
                    bodyTimeout: 0,
                },
                handler,
            );
        } catch (error) {
            fail(error as Error);
        }
    });
}
