import { CallOutcome, statusOfRefusal, unknownOutcomeStatus, type Refusal } from "@tanagertray/core";
import type { ServerResponse } from "node:http";
import type { ResponseSink } from "./exchange.js";

export interface RefusalOptions {
    /** Whether the connection is to be closed, as when the daemon stops. */
    readonly close: boolean;
}

/**
 * Whether the whole request was received. A listener that closes a connection while a body still arrives resets
 * it, and the caller may lose the response.
 */
export function hasArrived({ req }: ServerResponse): boolean {
    const { complete, headers } = req;
    const hasNoBody =
        headers["transfer-encoding"] === undefined && Number(headers["content-length"] ?? 0) === 0;
    return complete || hasNoBody;
}

/** Answers that no part of the call ran. */
export function sayNotRun(response: ServerResponse, refused: Refusal, { close }: RefusalOptions): void {
    const status = statusOfRefusal(refused.reason);
    const retryAfter = String(Math.max(1, Math.ceil(refused.retryAfterMs / 1_000)));
    say(response, status, CallOutcome.NotRun, refused.reason, {
        "retry-after": retryAfter,
        ...(close && hasArrived(response) ? { connection: "close" } : {}),
    });
}

/** Answers that the call was sent and its outcome is not known. */
export function sayUnknown(response: ServerResponse, reason: string): void {
    say(response, unknownOutcomeStatus, CallOutcome.Unknown, reason, {});
}

function say(
    response: ServerResponse,
    status: number,
    outcome: CallOutcome,
    reason: string,
    headers: Record<string, string>,
): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const title = outcome === CallOutcome.NotRun ? "the call did not run" : "the outcome is unknown";
    const document = { type: `urn:tanagertray:${outcome}`, title, status, detail: reason };
    const body = JSON.stringify(document);
    response.writeHead(status, {
        "content-type": "application/problem+json",
        "content-length": Buffer.byteLength(body),
        "tanagertray-outcome": outcome,
        "tanagertray-reason": reason,
        ...headers,
    });
    response.end(body);
}

/** Resets the connection, so that a truncated response cannot pass for a complete one. */
export function resetConnection(response: ServerResponse): void {
    if (response.socket === null) {
        response.destroy();
    } else {
        response.socket.resetAndDestroy();
    }
}

/** Passes a response on. Its head goes out with the first data, or alone when no data follows at once. */
export function sinkTo(response: ServerResponse): ResponseSink {
    let started = false;
    setImmediate(() => {
        if (!started && !response.destroyed) {
            response.flushHeaders();
        }
    });
    return {
        write(chunk) {
            started = true;
            return response.write(chunk);
        },
        onceWritable: resume => response.once("drain", resume),
        end() {
            started = true;
            response.end();
        },
    };
}

/** Takes a response that is not passed on. */
export const discardingSink: ResponseSink = {
    write: () => true,
    onceWritable: () => undefined,
    end: () => undefined,
};
