import type { ServerResponse } from "node:http";
import type { DaemonResponse } from "./dialect.js";
import type { ResponseSink } from "./disposition.js";

export interface SendOptions {
    /** Whether to close the connection, as during shutdown. */
    readonly close: boolean;
}

/**
 * Whether the request was received completely. Closing a connection while a body is still arriving resets it, and the
 * caller may lose the response.
 */
export function isRequestComplete({ req }: ServerResponse): boolean {
    const { complete, headers } = req;
    const hasNoBody =
        headers["transfer-encoding"] === undefined && Number(headers["content-length"] ?? 0) === 0;
    return complete || hasNoBody;
}

/** Sends a response that the daemon itself generated. */
export function respond(
    response: ServerResponse,
    { status, headers, body }: DaemonResponse,
    { close }: SendOptions = { close: false },
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

/** Resets the connection, so that the client cannot mistake a truncated response for a complete one. */
export function resetConnection(response: ServerResponse): void {
    if (response.socket === null) {
        response.destroy();
    } else {
        response.socket.resetAndDestroy();
    }
}

/**
 * Creates a sink that forwards a response. Data from one read of the upstream connection is sent in one write: the head
 * together with the first chunk, or with the end.
 */
export function createSink(response: ServerResponse): ResponseSink {
    let firstChunk: Buffer | undefined;
    let started = false;

    function start(): void {
        if (started || response.destroyed) {
            return;
        }
        started = true;
        if (firstChunk === undefined) {
            response.flushHeaders();
        } else {
            response.write(firstChunk);
        }
    }

    // Runs after all data of the current read has been forwarded.
    process.nextTick(start);
    return {
        write(chunk) {
            if (!started && firstChunk === undefined) {
                firstChunk = chunk;
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
                response.end(firstChunk);
            }
        },
    };
}
