import type { StageDurations } from "./stage.js";

/** A span as defined by OpenTelemetry, with identifiers of W3C Trace Context. It covers one hop of a call. */
export interface Span {
    readonly traceId: string;
    readonly spanId: string;
    readonly parentSpanId?: string;
    readonly name: string;
    /** Milliseconds since the epoch. */
    readonly startedAt: number;
    readonly durationMs: number;
    readonly failed: boolean;
    /** Durations of the call's stages; absent in spans of other operations. */
    readonly stages?: StageDurations;
    readonly attributes: Readonly<Record<string, string | number | boolean>>;
}
