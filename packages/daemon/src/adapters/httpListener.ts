import { maxDeadlineMs } from "@tanagertray/core";
import { createServer, type RequestListener, type Server } from "node:http";
import type { Endpoint } from "../settings/settings.js";

/** Largest size of all request headers together, in bytes. */
const maxHeaderBytes = 16_384;
/** Time for a request's headers to arrive, in milliseconds. */
const headersTimeoutMs = 10_000;
/** Time for a whole request to arrive: the longest deadline of a call, in milliseconds. */
const requestTimeoutMs = maxDeadlineMs;
/** Idle time of a kept-alive connection, in milliseconds. Longer than that of the clients' pools. */
const keepAliveTimeoutMs = 30_000;

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
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(endpoint.port, endpoint.address, resolve);
    });
    return server;
}

/** Period in which a closing listener looks for connections that became idle, in milliseconds. */
const idleCheckMs = 100;

/** Stops accepting connections, closes idle ones, and waits for requests in progress. */
export function closeListener(server: Server): Promise<void> {
    return new Promise(resolve => {
        const timer = setInterval(() => server.closeIdleConnections(), idleCheckMs);
        server.close(() => {
            clearInterval(timer);
            resolve();
        });
        server.closeIdleConnections();
    });
}
