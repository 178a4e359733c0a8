import { maxDeadlineMs } from "@tanagertray/core";
import { createServer, type RequestListener, type Server } from "node:http";
import { Server as NetServer } from "node:net";
import type { Endpoint } from "../settings/settings.js";
import { refuseUnreadable } from "./unreadableRequests.js";

/** Largest size of all request headers together, in bytes. */
const maxHeaderBytes = 16_384;
/** Time for a request's headers to arrive, in milliseconds. */
const headersTimeoutMs = 10_000;
/** Time for a whole request to arrive: the longest deadline of a call, in milliseconds. */
const requestTimeoutMs = maxDeadlineMs;
/**
 * Idle time of a kept-alive connection, in milliseconds. Longer than that of the clients' pools, which learn it
 * from the `keep-alive` header of each response.
 */
export const keepAliveTimeoutMs = 5_000;

/** Opens an HTTP listener with the limits that all listeners share. TLS would be added here. */
export async function openListener(endpoint: Endpoint, handler: RequestListener): Promise<Server> {
    const server = createServer(
        {
            maxHeaderSize: maxHeaderBytes,
            headersTimeout: headersTimeoutMs,
            requestTimeout: requestTimeoutMs,
            keepAliveTimeout: keepAliveTimeoutMs,
            insecureHTTPParser: false,
            requireHostHeader: true,
        },
        handler,
    );
    refuseUnreadable(server);
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(endpoint.port, endpoint.address, resolve);
    });
    return server;
}

/** Period in which a closing listener looks for connections that became idle, in milliseconds. */
const idleCheckMs = 100;

export interface ListenerClosing {
    /**
     * Time in which idle connections stay open, in milliseconds. A client may write a request to a connection at
     * the moment at which the listener closes it, and could not tell whether the request ran. Within the keep-alive
     * time the client closes the connection itself, or its next request is refused with `connection: close`.
     * @default 0
     */
    idleGraceMs?: number;
}

/** Stops accepting connections, closes idle ones after the grace time, and waits for requests in progress. */
export function closeListener(server: Server, { idleGraceMs = 0 }: ListenerClosing = {}): Promise<void> {
    return new Promise(resolve => {
        const graceEndsAt = performance.now() + idleGraceMs;
        const timer = setInterval(() => {
            if (performance.now() >= graceEndsAt) {
                server.closeIdleConnections();
            }
        }, idleCheckMs);
        const closed = () => {
            clearInterval(timer);
            resolve();
        };
        // `close` of an HTTP server closes idle connections at once; that of its base only stops accepting.
        const stopAccepting = idleGraceMs > 0 ? NetServer.prototype.close : server.close;
        stopAccepting.call(server, closed);
    });
}
