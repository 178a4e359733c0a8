import { EventLevel, type Span, type StageDurations } from "@tanagertray/core";
import { Pool } from "undici";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";
import { TraceExporter } from "../settings/settings.js";

/** Spans that wait for the collector; further ones are dropped and counted. */
const maxWaitingSpans = 2_048;
/** Spans of one request to the collector. */
const maxBatchSpans = 512;
/** Period of the requests to the collector, in milliseconds. */
const exportPeriodMs = 1_000;
/** Time for the collector to answer, in milliseconds. */
const exportTimeoutMs = 5_000;

/** Passes on finished spans as the settings say. */
export function createTraces(board: Board): Closeable {
    const events = board.claimFeed("traceEvents");
    return exporters[board.read("settings").traces.exporter](board, (name, level, fields) =>
        events.append({ name, level, fields }),
    );
}

type Report = (name: string, level: EventLevel, fields: Record<string, string | number | boolean>) => void;

const exporters = {
    [TraceExporter.None]: () => ({ close: () => undefined }),
    [TraceExporter.Log]: (board, report) => {
        const subscription = board.follow("spans", ({ attributes, stages, ...span }) =>
            report("trace.span", EventLevel.Info, { ...attributes, ...stageAttributes(stages), ...span }),
        );
        return { close: () => subscription.close() };
    },
    [TraceExporter.Otlp]: createOtlpExporter,
} satisfies Record<TraceExporter, (board: Board, report: Report) => Closeable>;

/** Sends spans to a collector as OTLP/HTTP JSON, one bounded batch at a time. */
function createOtlpExporter(board: Board, report: Report): Closeable {
    const { host, failureDomain, region, traces } = board.read("settings");
    const resource = encodeAttributes({
        "service.name": "tanagertrayd",
        "host.name": host,
        "tanagertray.failure_domain": failureDomain,
        "cloud.region": region,
    });
    const { origin, pathname, search } = new URL(traces.url as string);
    const collector = new Pool(origin, { connections: 1 });
    const waiting: Span[] = [];
    let dropped = 0;
    let sending: Promise<void> | undefined;

    const subscription = board.follow("spans", span => {
        if (waiting.length >= maxWaitingSpans) {
            dropped += 1;
            return;
        }
        waiting.push(span);
    });

    async function sendBatch(): Promise<void> {
        const spans = waiting.splice(0, maxBatchSpans);
        const body = JSON.stringify(encodeBatch(resource, spans));
        try {
            const response = await collector.request({
                path: `${pathname}${search}`,
                method: "POST",
                headers: { "content-type": "application/json" },
                body,
                headersTimeout: exportTimeoutMs,
                bodyTimeout: exportTimeoutMs,
                signal: AbortSignal.timeout(exportTimeoutMs),
            });
            await response.body.dump();
            if (response.statusCode >= 300) {
                throw new Error(`status ${response.statusCode}`);
            }
        } catch (error) {
            dropped += spans.length;
            report("trace.exportFailed", EventLevel.Warn, { error: String(error) });
        }
    }

    function tick(): void {
        if (dropped > 0) {
            report("trace.dropped", EventLevel.Warn, { spans: dropped });
            dropped = 0;
        }
        if (waiting.length > 0 && sending === undefined) {
            sending = sendBatch().finally(() => (sending = undefined));
        }
    }

    const timer = setInterval(tick, exportPeriodMs);
    return {
        async close() {
            clearInterval(timer);
            subscription.close();
            await sending;
            if (waiting.length > 0) {
                await sendBatch();
            }
            await collector.destroy();
        },
    };
}

/** Stages as attributes, such as `queueMs`. */
function stageAttributes(stages: StageDurations = {}): Readonly<Record<string, number>> {
    return Object.fromEntries(Object.entries(stages).map(([stage, ms]) => [`${stage}Ms`, ms]));
}

/** Kind and status codes of the OTLP schema. */
const otlpServerKind = 2;
const otlpStatus = { ok: 1, error: 2 } as const;

function encodeBatch(resource: readonly object[], spans: readonly Span[]): object {
    const scopeSpans = [{ scope: { name: "tanagertray" }, spans: spans.map(encodeSpan) }];
    return { resourceSpans: [{ resource: { attributes: resource }, scopeSpans }] };
}

function encodeSpan(span: Span): object {
    return {
        traceId: span.traceId,
        spanId: span.spanId,
        ...(span.parentSpanId === undefined ? {} : { parentSpanId: span.parentSpanId }),
        name: span.name,
        kind: otlpServerKind,
        startTimeUnixNano: toNanoseconds(span.startedAt),
        endTimeUnixNano: toNanoseconds(span.startedAt + span.durationMs),
        attributes: encodeAttributes({ ...span.attributes, ...stageAttributes(span.stages) }),
        status: { code: span.failed ? otlpStatus.error : otlpStatus.ok },
    };
}

/** Nanoseconds as a decimal text, since they exceed the exact range of a number. */
function toNanoseconds(ms: number): string {
    return (BigInt(Math.round(ms * 1_000)) * 1_000n).toString();
}

function encodeAttributes(
    attributes: Readonly<Record<string, string | number | boolean>>,
): readonly object[] {
    return Object.entries(attributes).map(([key, value]) => ({
        key,
        value: valueEncoders[typeof value as keyof typeof valueEncoders](value as never),
    }));
}

const valueEncoders = {
    string: (value: string) => ({ stringValue: value }),
    number: (value: number) => ({ doubleValue: value }),
    boolean: (value: boolean) => ({ boolValue: value }),
};
