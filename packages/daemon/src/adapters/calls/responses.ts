import type { ServerResponse } from "node:http";
import type { OwnAnswer } from "./dialect.js";
import type { ResponseSink } from "./reception.js";

export interface AnswerOptions {
    /** Whether the connection is to be closed, as when the daemon stops. */
    readonly close: boolean;
}

/**
 * Whether the whole request was received. A listener that closes a connection while a body still arrives resets
 * it, and the caller may lose the response.
 */
export function isRequestComplete({ req }: ServerResponse): boolean {
    const { complete, headers } = req;
    const hasNoBody =
        headers["transfer-encoding"] === undefined && Number(headers["content-length"] ?? 0) === 0;
    return complete || hasNoBody;
}

/** Sends an answer of the daemon itself. */
export function sendOwn(
    response: ServerResponse,
    { status, headers, body }: OwnAnswer,
    { close }: AnswerOptions = { close: false },
): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    response.writeHead(status, {
        ...headers,
        ...(close && isRequestComplete(response) ? { connection: "close" } : {}),
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

/**
 * Passes a response on. What comes in one read of the other connection goes out in one write: the head with the first
 * data, or whole with the end.
 */
export function sinkTo(response: ServerResponse): ResponseSink {
    let held: Buffer | undefined;
    let started = false;

    function start(): void {
        if (started || response.destroyed) {
            return;
        }
        started = true;
        if (held === undefined) {
            response.flushHeaders();
        } else {
            response.write(held);
        }
    }

    // Runs when all of the read has been passed on.
    process.nextTick(start);
    return {
        write(chunk) {
            if (!started && held === undefined) {
                held = chunk;
                return true;
            }
            start();
            return response.write(chunk);
        },
        onceWritable: resume => response.once("drain", resume),
        end() {
            if (started) {
                response.end();
            } else {
                started = true;
                response.end(held);
            }
        },
    };
}
