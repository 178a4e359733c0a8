import { CallStage, RejectionCause, type Event, type Span } from "@tanagertray/core";
import type Int32Histogram from "hdr-histogram-js/dist/Int32Histogram.js";
import type { Board } from "../../board.js";
import type { Closeable } from "../../closeable.js";
import { eventFeeds } from "../../eventFeeds.js";
import { responseRejectedEvent } from "../calls/rejections.js";
import { maxCountedNames, maxCountedServices, maxEarlySpans, maxSpanMicroseconds } from "./constants.js";

type Histogram = InstanceType<typeof Int32Histogram.default>;

export interface Durations {
    readonly histogram: Histogram;
    totalMs: number;
}

export interface SpanStatistics extends Durations {
    failures: number;
    /** Of the stages that its calls went through. */
    readonly stages: Partial<Record<CallStage, Durations>>;
}

/** Counts of events and histograms of durations since the start. */
export interface Counters extends Closeable {
    events(): ReadonlyMap<string, number>;
    /** Refusals and failed attempts, by event and reason. */
    refusals(): ReadonlyMap<string, number>;
    /** Calls without a complete answer, by result and reason. */
    unserved(): ReadonlyMap<string, number>;
    spans(): ReadonlyMap<string, SpanStatistics>;
    /** Waits for a slot, by service. */
    waits(): ReadonlyMap<string, Durations>;
    /** Lateness of the ticks of the clock. */
    loopLag(): Durations | undefined;
    /** Responses that were not passed on, or not to their end, by cause. */
    rejections(): ReadonlyMap<string, number>;
}

/** Joins two labels in the key of a count; neither a reason nor a name holds it. */
export const labelSeparator = "|";

/** Name of the entries beyond the limit of names. */
const otherName = "other";
/** Digits of a duration that a histogram keeps. */
const significantDigits = 2;

/** Keys of what is counted of an event beside its name, by the name. */
const keysByEvent: Readonly<Partial<Record<string, (fields: Event["fields"]) => EventKey>>> = {
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

interface EventKey {
    readonly counts: "refusals" | "unserved" | "rejections";
    readonly key: string;
}

/** Follows the feeds of events and spans and the clock, and counts their entries. */
export function createCounters(board: Board): Counters {
    const events = new Map<string, number>();
    const byReason = {
        refusals: new Map<string, number>(),
        unserved: new Map<string, number>(),
        rejections: new Map<string, number>(Object.values(RejectionCause).map(cause => [cause, 0])),
    };
    const spans = new Map<string, SpanStatistics>();
    const waits = new Map<string, Durations>();
    const lags = new Map<string, Durations>();
    let loaded: typeof Int32Histogram.default | undefined;
    let loading: Promise<void> | undefined;
    const early: Span[] = [];

    function count(counts: Map<string, number>, name: string): void {
        const counted = limitName(counts, name);
        counts.set(counted, (counts.get(counted) ?? 0) + 1);
    }

    function countEvent({ name, fields }: Event): void {
        count(events, name);
        const found = keysByEvent[name]?.(fields);
        if (found !== undefined) {
            count(byReason[found.counts], found.key);
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
        const known = spans.get(name) ?? { ...createDurations(histogramClass), failures: 0, stages: {} };
        spans.set(name, known);
        record(known, span.durationMs);
        known.failures += span.failed ? 1 : 0;
        for (const stage in span.stages) {
            const ms = span.stages[stage as CallStage] ?? 0;
            record((known.stages[stage as CallStage] ??= createDurations(histogramClass)), ms);
        }
        const waitedMs = span.stages?.[CallStage.Queue];
        if (waitedMs !== undefined) {
            const service = String(span.attributes["service"]);
            const isApart = waits.has(service) || waits.size < maxCountedServices;
            recordNamed(waits, isApart ? service : otherName, waitedMs, histogramClass);
        }
    }

    const subscriptions = [
        ...eventFeeds.map(feed => board.follow(feed, countEvent)),
        board.follow("spans", takeSpan),
        board.observe(["clock"], () => {
            if (loaded !== undefined) {
                recordNamed(lags, "clock", board.read("clock").pausedForMs, loaded);
            }
        }),
    ];
    return {
        events: () => events,
        refusals: () => byReason.refusals,
        unserved: () => byReason.unserved,
        spans: () => spans,
        waits: () => waits,
        loopLag: () => lags.get("clock"),
        rejections: () => byReason.rejections,
        close: () => subscriptions.forEach(subscription => subscription.close()),
    };
}

function createDurations(histogramClass: typeof Int32Histogram.default): Durations {
    return { histogram: new histogramClass(1, maxSpanMicroseconds, significantDigits), totalMs: 0 };
}

function record(known: Durations, ms: number): void {
    const microseconds = Math.round(ms * 1_000);
    known.histogram.recordValue(Math.min(maxSpanMicroseconds, Math.max(1, microseconds)));
    known.totalMs += ms;
}

function recordNamed(
    all: Map<string, Durations>,
    name: string,
    ms: number,
    histogramClass: typeof Int32Histogram.default,
): void {
    let known = all.get(name);
    if (known === undefined) {
        known = createDurations(histogramClass);
        all.set(name, known);
    }
    record(known, ms);
}

function limitName(known: ReadonlyMap<string, unknown>, name: string): string {
    return known.has(name) || known.size < maxCountedNames ? name : otherName;
}
