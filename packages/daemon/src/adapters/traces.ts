import { EventLevel, type Span, type StageDurations } from "@tanagertray/core";
import { Pool } from "undici";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";
import { TraceExporter } from "../settings/settings.js";
import { createRenewablePool } from "./renewablePool.js";
import { untilAborted } from "./untilAborted.js";

/** Limit of the spans waiting for export. Further spans are dropped and counted. */
const maxPendingSpans = 2_048;
/** Limit of the spans in one request to the collector. */
const maxBatchSpans = 512;
/** Interval of the requests to the collector, in milliseconds. */
const exportPeriodMs = 1_000;
/** Timeout of a request to the collector, in milliseconds. */
const exportTimeoutMs = 5_000;

/** Exports finished spans with the exporter chosen in the settings. */
export function createTraces(board: Board): Closeable {
    const events = board.claimFeed("traceEvents");
    return exporters[board.read("settings").traces.exporter](board, (name, level, fields) =>
        events.append({ name, level, fields }),
    );
}

type AppendEvent = (
    name: string,
    level: EventLevel,
    fields: Record<string, string | number | boolean>,
) => void;

const exporters = {
    [TraceExporter.None]: () => ({ close: () => undefined }),
    [TraceExporter.Log]: (board, appendEvent) => {
        const subscription = board.follow("spans", ({ attributes, stages, ...span }) =>
            appendEvent("trace.span", EventLevel.Info, {
                ...attributes,
                ...stageAttributes(stages),
                ...span,
            }),
        );
        return { close: () => subscription.close() };
    },
    [TraceExporter.Otlp]: createOtlpExporter,
} satisfies Record<TraceExporter, (board: Board, appendEvent: AppendEvent) => Closeable>;

/** Sends spans to a collector as OTLP/HTTP JSON, in batches of limited size. */
function createOtlpExporter(board: Board, appendEvent: AppendEvent): Closeable {
    const { host, failureDomain, region, traces } = board.read("settings");
    const resource = encodeAttributes({
        "service.name": "tanagertrayd",
        "host.name": host,
        "tanagertray.failure_domain": failureDomain,
        "cloud.region": region,
    });
    const collector = new URL(traces.url as string);
    // One connection is enough because batches are sent one after another.
    const connections = createRenewablePool(() => new Pool(collector.origin, { connections: 1 }));
    const pendingSpans: Span[] = [];
    let droppedCount = 0;
    let exportInProgress: Promise<void> | undefined;

    const subscription = board.follow("spans", span => {
        if (pendingSpans.length >= maxPendingSpans) {
            droppedCount += 1;
            return;
        }
        pendingSpans.push(span);
    });

    async function exportBatch(): Promise<void> {
        const spans = pendingSpans.splice(0, maxBatchSpans);
        const body = JSON.stringify(encodeBatch(resource, spans));
        const pool = connections.current();
        const signal = AbortSignal.timeout(exportTimeoutMs);
        const request = async () => {
            const response = await pool.request({
                path: `${collector.pathname}${collector.search}`,
                method: "POST",
                headers: { "content-type": "application/json" },
                body,
                signal,
            });
            await response.body.dump();
            if (response.statusCode >= 300) {
                throw new Error(`the collector responded with status ${response.statusCode}`);
            }
        };
        try {
            await untilAborted(signal, request());
        } catch (error) {
            connections.renew(pool);
            droppedCount += spans.length;
            appendEvent("trace.exportFailed", EventLevel.Warn, { error: String(error) });
        }
    }

    function exportPending(): void {
        if (droppedCount > 0) {
            appendEvent("trace.dropped", EventLevel.Warn, { spans: droppedCount });
            droppedCount = 0;
        }
        if (pendingSpans.length > 0 && exportInProgress === undefined) {
            exportInProgress = exportBatch().finally(() => (exportInProgress = undefined));
        }
    }

    const timer = setInterval(exportPending, exportPeriodMs);
    return {
        async close() {
            clearInterval(timer);
            subscription.close();
            await exportInProgress;
            if (pendingSpans.length > 0) {
                await exportBatch();
            }
            await connections.destroy();
        },
    };
}

/** Encodes the durations of stages as attributes such as `queueMs`. */
function stageAttributes(stages: StageDurations = {}): Readonly<Record<string, number>> {
    return Object.fromEntries(Object.entries(stages).map(([stage, ms]) => [`${stage}Ms`, ms]));
}

/** Span kind and status codes defined by OTLP. */
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

/** Returns nanoseconds as a decimal string, because they exceed `Number.MAX_SAFE_INTEGER`. */
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
