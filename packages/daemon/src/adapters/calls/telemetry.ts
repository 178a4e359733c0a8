import type { EventLevel, StageDurations } from "@tanagertray/core";
import { type Event } from "@tanagertray/core";
import type { Board } from "../../board.js";

/** A span in progress. */
export interface OpenSpan {
    readonly traceId: string;
    /** Value of `traceparent` for the next hop. */
    readonly traceparent: string;
    end(
        failed: boolean,
        attributes: Readonly<Record<string, string | number | boolean>>,
        stages: StageDurations,
    ): void;
}

export interface Telemetry {
    event(name: string, level: EventLevel, fields: Event["fields"]): void;
    startSpan(name: string, traceparent: string | undefined): OpenSpan;
}

const traceparentPattern = /^00-(?!0{32})([0-9a-f]{32})-(?!0{16})([0-9a-f]{16})-([0-9a-f]{2})$/;

/** One random number gives eight digits; the base keeps the zeros in front of them. */
const numberBase = 2 ** 32;

/** Ids of traces need no secrecy, and a call of the system for each costs more than the rest of a span. */
function randomHex(digits: number): string {
    let text = "";
    while (text.length < digits) {
        text += (numberBase + Math.floor(Math.random() * numberBase)).toString(16).slice(1);
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
            const [, givenTrace, parentSpanId, flags = "01"] =
                traceparentPattern.exec(traceparent ?? "") ?? [];
            const traceId = givenTrace ?? randomHex(32);
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
