import { maxDeadlineMs } from "@tanagertray/core";
import { createServer, type RequestListener, type Server } from "node:http";
import { Server as NetServer } from "node:net";
import type { Endpoint } from "../settings/settings.js";
import { handleClientErrors } from "./clientErrors.js";

/** Limit of the total size of the request headers, in bytes. */
const maxHeadersBytes = 16_384;
/** Timeout for receiving the headers of a request, in milliseconds. */
const headersTimeoutMs = 10_000;
/** Timeout for receiving a whole request, in milliseconds: the longest deadline of a call. */
const requestTimeoutMs = maxDeadlineMs;
/**
 * Idle timeout of a keep-alive connection, in milliseconds. Longer than that of the clients' pools, which read it from
 * the `keep-alive` header of each response.
 */
export const keepAliveTimeoutMs = 5_000;

/** Opens an HTTP listener with the limits common to all listeners. TLS would be added here. */
export async function openListener(endpoint: Endpoint, handler: RequestListener): Promise<Server> {
    const server = createServer(
        {
            maxHeaderSize: maxHeadersBytes,
            headersTimeout: headersTimeoutMs,
            requestTimeout: requestTimeoutMs,
            keepAliveTimeout: keepAliveTimeoutMs,
            insecureHTTPParser: false,
            requireHostHeader: true,
        },
        handler,
    );
    handleClientErrors(server);
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(endpoint.port, endpoint.address, resolve);
    });
    return server;
}

/** Interval at which a closing listener checks for idle connections, in milliseconds. */
const idleCheckMs = 100;

export interface CloseListenerOptions {
    /**
     * Time for which idle connections stay open, in milliseconds. If the listener closes a connection just as the client
     * sends a request on it, the client cannot tell whether the request ran. With a grace period as long as the
     * keep-alive timeout, the client closes the connection itself, or its next request is refused with `connection: close`.
     * @default 0
     */
    idleGraceMs?: number;
}

/** Stops accepting connections, closes idle ones after the grace period, and waits for requests in progress. */
export function closeListener(server: Server, { idleGraceMs = 0 }: CloseListenerOptions = {}): Promise<void> {
    return new Promise(resolve => {
        const graceEndsAt = performance.now() + idleGraceMs;
        const timer = setInterval(() => {
            if (performance.now() >= graceEndsAt) {
                server.closeIdleConnections();
            }
        }, idleCheckMs);
        const onClosed = () => {
            clearInterval(timer);
            resolve();
        };
        // `close` of an HTTP server closes idle connections at once; `close` of its base class only stops accepting.
        const stopAccepting = idleGraceMs > 0 ? NetServer.prototype.close : server.close;
        stopAccepting.call(server, onClosed);
    });
}
