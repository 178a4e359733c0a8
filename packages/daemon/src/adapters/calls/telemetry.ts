import type { EventLevel, StageDurations } from "@tanagertray/core";
import { type Event } from "@tanagertray/core";
import type { Board } from "../../board.js";

/** A span in progress. */
export interface ActiveSpan {
    readonly traceId: string;
    /** Value of the `traceparent` header for the next hop. */
    readonly traceparent: string;
    end(
        failed: boolean,
        attributes: Readonly<Record<string, string | number | boolean>>,
        stages: StageDurations,
    ): void;
}

export interface Telemetry {
    event(name: string, level: EventLevel, fields: Event["fields"]): void;
    startSpan(name: string, traceparent: string | undefined): ActiveSpan;
}

const traceparentPattern = /^00-(?!0{32})([0-9a-f]{32})-(?!0{16})([0-9a-f]{16})-([0-9a-f]{2})$/;

/** Offset that keeps leading zeros: a sum has nine hexadecimal digits, and the last eight are random. */
const hexChunkBase = 2 ** 32;

/** Trace ids need no cryptographic randomness, whose system call would cost more than the rest of a span. */
function randomHex(digits: number): string {
    let text = "";
    while (text.length < digits) {
        text += (hexChunkBase + Math.floor(Math.random() * hexChunkBase)).toString(16).slice(1);
    }
    return text;
}

/** Writes the `spans` and `callEvents` sections. */
export function createTelemetry(board: Board, now: () => number): Telemetry {
    const spans = board.claimFeed("spans");
    const events = board.claimFeed("callEvents");
    return {
        event: (name, level, fields) => events.append({ name, level, fields }),
        startSpan(name, traceparent) {
            const [, incomingTraceId, parentSpanId, flags = "01"] =
                traceparentPattern.exec(traceparent ?? "") ?? [];
            const traceId = incomingTraceId ?? randomHex(32);
            const spanId = randomHex(16);
            const startedAt = now();
            return {
                traceId,
                traceparent: `00-${traceId}-${spanId}-${flags}`,
                end(failed, attributes, stages) {
                    const durationMs = now() - startedAt;
                    const parent = parentSpanId === undefined ? {} : { parentSpanId };
                    spans.append({
                        traceId,
                        spanId,
                        ...parent,
                        name,
                        startedAt,
                        durationMs,
                        failed,
                        attributes,
                        stages,
                    });
                },
            };
        },
    };
}
