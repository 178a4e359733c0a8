import { CallStage, RejectionCause, type Event, type Span } from "@tanagertray/core";
import type Int32Histogram from "hdr-histogram-js/dist/Int32Histogram.js";
import type { Board } from "../../board.js";
import type { Closeable } from "../../closeable.js";
import { eventFeeds } from "../../eventFeeds.js";
import { responseRejectedEvent } from "../calls/rejections.js";
import {
    maxBufferedSpans,
    maxNameLabels,
    maxServiceLabels,
    maxSpanDurationMicroseconds,
} from "./constants.js";

type Histogram = InstanceType<typeof Int32Histogram.default>;

export interface DurationSummary {
    readonly histogram: Histogram;
    totalMs: number;
}

export interface SpanStatistics extends DurationSummary {
    failures: number;
    /** Durations of the stages that the calls of these spans went through. */
    readonly stages: Partial<Record<CallStage, DurationSummary>>;
}

/** Counts of events and histograms of durations since the daemon started. */
export interface Counters extends Closeable {
    events(): ReadonlyMap<string, number>;
    /** Refused calls and failed attempts, by place and reason. */
    refusals(): ReadonlyMap<string, number>;
    /** Calls without a complete answer, by result and reason. */
    unserved(): ReadonlyMap<string, number>;
    spans(): ReadonlyMap<string, SpanStatistics>;
    /** Time that calls waited for a slot, by service. */
    waits(): ReadonlyMap<string, DurationSummary>;
    /** Delay of the clock's ticks; undefined before the first tick after the histograms are loaded. */
    loopLag(): DurationSummary | undefined;
    /** Responses that were not forwarded, or not completely, by cause. */
    rejections(): ReadonlyMap<string, number>;
}

/** Joins two label values into one key. No reason and no name contains this character. */
export const labelSeparator = "|";

/** Counts everything beyond the maximum number of names. */
const overflowName = "other";
/** Significant digits that a histogram keeps of a duration. */
const significantDigits = 2;

/** By event name: the map and the key under which an event is counted in addition to its name. */
const reasonCountsByEvent: Readonly<Partial<Record<string, (fields: Event["fields"]) => ReasonCount>>> = {
    "call.refused": fields => ({ counts: "refusals", key: `entry${labelSeparator}${fields["reason"]}` }),
    "call.hopRefused": fields => ({ counts: "refusals", key: `hop${labelSeparator}${fields["reason"]}` }),
    "call.backendRefused": fields => ({
        counts: "refusals",
        key: `backendServer${labelSeparator}${fields["reason"]}`,
    }),
    "call.attemptFailed": fields => ({
        counts: "refusals",
        key: `attempt${labelSeparator}${fields["reason"] ?? fields["failure"]}`,
    }),
    "call.unserved": fields => ({
        counts: "unserved",
        key: `${fields["result"]}${labelSeparator}${fields["reason"] ?? "none"}`,
    }),
    [responseRejectedEvent]: fields => ({ counts: "rejections", key: String(fields["cause"]) }),
};

interface ReasonCount {
    readonly counts: "refusals" | "unserved" | "rejections";
    readonly key: string;
}

/** Follows the event feeds, the spans and the clock, and counts their entries. */
export function createCounters(board: Board): Counters {
    const events = new Map<string, number>();
    const countsByReason = {
        refusals: new Map<string, number>(),
        unserved: new Map<string, number>(),
        rejections: new Map<string, number>(Object.values(RejectionCause).map(cause => [cause, 0])),
    };
    const spans = new Map<string, SpanStatistics>();
    const waits = new Map<string, DurationSummary>();
    const lagByClock = new Map<string, DurationSummary>();
    let loadedClass: typeof Int32Histogram.default | undefined;
    let loading: Promise<void> | undefined;
    const bufferedSpans: Span[] = [];

    function count(counts: Map<string, number>, name: string): void {
        const countedName = nameWithinLimit(counts, name);
        counts.set(countedName, (counts.get(countedName) ?? 0) + 1);
    }

    function countEvent({ name, fields }: Event): void {
        count(events, name);
        const reasonCount = reasonCountsByEvent[name]?.(fields);
        if (reasonCount !== undefined) {
            count(countsByReason[reasonCount.counts], reasonCount.key);
        }
    }

    function handleSpan(span: Span): void {
        if (loadedClass === undefined) {
            if (bufferedSpans.length < maxBufferedSpans) {
                bufferedSpans.push(span);
            }
            loading ??= loadHistograms();
            return;
        }
        recordSpan(span, loadedClass);
    }

    // The whole library takes 8.5 MB because of its WebAssembly part, so only one class is loaded, on first use.
    async function loadHistograms(): Promise<void> {
        const module = await import("hdr-histogram-js/dist/Int32Histogram.js");
        loadedClass = module.default.default;
        bufferedSpans.splice(0).forEach(handleSpan);
    }

    function recordSpan(span: Span, histogramClass: typeof Int32Histogram.default): void {
        const name = nameWithinLimit(spans, span.name);
        const statistics = spans.get(name) ?? { ...createSummary(histogramClass), failures: 0, stages: {} };
        spans.set(name, statistics);
        record(statistics, span.durationMs);
        statistics.failures += span.failed ? 1 : 0;
        for (const stage in span.stages) {
            const ms = span.stages[stage as CallStage] ?? 0;
            record((statistics.stages[stage as CallStage] ??= createSummary(histogramClass)), ms);
        }
        const waitedMs = span.stages?.[CallStage.Queue];
        if (waitedMs !== undefined) {
            const service = String(span.attributes["service"]);
            const hasOwnEntry = waits.has(service) || waits.size < maxServiceLabels;
            recordByName(waits, hasOwnEntry ? service : overflowName, waitedMs, histogramClass);
        }
    }

    const subscriptions = [
        ...eventFeeds.map(feed => board.follow(feed, countEvent)),
        board.follow("spans", handleSpan),
        board.observe(["clock"], () => {
            if (loadedClass !== undefined) {
                recordByName(lagByClock, "clock", board.read("clock").pausedForMs, loadedClass);
            }
        }),
    ];
    return {
        events: () => events,
        refusals: () => countsByReason.refusals,
        unserved: () => countsByReason.unserved,
        spans: () => spans,
        waits: () => waits,
        loopLag: () => lagByClock.get("clock"),
        rejections: () => countsByReason.rejections,
        close: () => subscriptions.forEach(subscription => subscription.close()),
    };
}

function createSummary(histogramClass: typeof Int32Histogram.default): DurationSummary {
    return { histogram: new histogramClass(1, maxSpanDurationMicroseconds, significantDigits), totalMs: 0 };
}

function record(summary: DurationSummary, ms: number): void {
    const microseconds = Math.round(ms * 1_000);
    summary.histogram.recordValue(Math.min(maxSpanDurationMicroseconds, Math.max(1, microseconds)));
    summary.totalMs += ms;
}

function recordByName(
    summaries: Map<string, DurationSummary>,
    name: string,
    ms: number,
    histogramClass: typeof Int32Histogram.default,
): void {
    let summary = summaries.get(name);
    if (summary === undefined) {
        summary = createSummary(histogramClass);
        summaries.set(name, summary);
    }
    record(summary, ms);
}

function nameWithinLimit(entries: ReadonlyMap<string, unknown>, name: string): string {
    return entries.has(name) || entries.size < maxNameLabels ? name : overflowName;
}
