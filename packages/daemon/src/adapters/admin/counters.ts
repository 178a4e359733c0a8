import { RejectionCause, type Event, type Span } from "@tanagertray/core";
import type Int32Histogram from "hdr-histogram-js/dist/Int32Histogram.js";
import type { Board } from "../../board.js";
import type { Closeable } from "../../closeable.js";
import { eventFeeds } from "../../eventFeeds.js";
import { answerRejectedEvent } from "../calls/rejections.js";
import { maxCountedNames, maxEarlySpans, maxSpanMicroseconds } from "./constants.js";

type Histogram = InstanceType<typeof Int32Histogram.default>;

export interface SpanStatistics {
    readonly histogram: Histogram;
    failures: number;
    totalMs: number;
}

/** Counts of events and histograms of span durations since the start, by name. */
export interface Counters extends Closeable {
    events(): ReadonlyMap<string, number>;
    spans(): ReadonlyMap<string, SpanStatistics>;
    /** Responses that were not passed on, or not to their end, by cause. */
    rejections(): ReadonlyMap<string, number>;
}

/** Name of the entries beyond the limit of names. */
const otherName = "other";
/** Digits of a duration that a histogram keeps. */
const significantDigits = 2;

/** Follows the feeds of events and spans and counts their entries. */
export function createCounters(board: Board): Counters {
    const events = new Map<string, number>();
    const spans = new Map<string, SpanStatistics>();
    const rejections = new Map<string, number>(Object.values(RejectionCause).map(cause => [cause, 0]));
    let loaded: typeof Int32Histogram.default | undefined;
    let loading: Promise<void> | undefined;
    const early: Span[] = [];

    function countEvent({ name, fields }: Event): void {
        const counted = limitName(events, name);
        events.set(counted, (events.get(counted) ?? 0) + 1);
        if (name === answerRejectedEvent) {
            const cause = String(fields["cause"]);
            rejections.set(cause, (rejections.get(cause) ?? 0) + 1);
        }
    }

    function takeSpan(span: Span): void {
        if (loaded === undefined) {
            if (early.length < maxEarlySpans) {
                early.push(span);
            }
            loading ??= loadHistograms();
            return;
        }
        recordSpan(span, loaded);
    }

    // The whole library costs 8.5 MB because of its WebAssembly part, so one class is loaded, on first use.
    async function loadHistograms(): Promise<void> {
        const module = await import("hdr-histogram-js/dist/Int32Histogram.js");
        loaded = module.default.default;
        early.splice(0).forEach(takeSpan);
    }

    function recordSpan(span: Span, histogramClass: typeof Int32Histogram.default): void {
        const name = limitName(spans, span.name);
        const known = spans.get(name) ?? {
            histogram: new histogramClass(1, maxSpanMicroseconds, significantDigits),
            failures: 0,
            totalMs: 0,
        };
        spans.set(name, known);
        const microseconds = Math.round(span.durationMs * 1_000);
        known.histogram.recordValue(Math.min(maxSpanMicroseconds, Math.max(1, microseconds)));
        known.failures += span.failed ? 1 : 0;
        known.totalMs += span.durationMs;
    }

    const subscriptions = [
        ...eventFeeds.map(feed => board.follow(feed, countEvent)),
        board.follow("spans", takeSpan),
    ];
    return {
        events: () => events,
        spans: () => spans,
        rejections: () => rejections,
        close: () => subscriptions.forEach(subscription => subscription.close()),
    };
}

function limitName(known: ReadonlyMap<string, unknown>, name: string): string {
    return known.has(name) || known.size < maxCountedNames ? name : otherName;
}
