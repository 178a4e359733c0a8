import type { StageDurations } from "./stage.js";

/** One hop of a call, as W3C Trace Context and OpenTelemetry know it. */
export interface Span {
    readonly traceId: string;
    readonly spanId: string;
    readonly parentSpanId?: string;
    readonly name: string;
    /** Milliseconds since the epoch. */
    readonly startedAt: number;
    readonly durationMs: number;
    readonly failed: boolean;
    /** Stages of a call, for spans of calls. */
    readonly stages?: StageDurations;
    readonly attributes: Readonly<Record<string, string | number | boolean>>;
}
