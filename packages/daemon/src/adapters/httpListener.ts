import { createServer, type RequestListener, type Server } from "node:http";
import type { Endpoint } from "../settings/settings.js";

/** Largest size of all request headers together, in bytes. */
const maxHeaderBytes = 16_384;
/** Time for a request's headers to arrive, in milliseconds. */
const headersTimeoutMs = 10_000;
/** Idle time of a kept-alive connection, in milliseconds. Longer than that of the clients' pools. */
const keepAliveTimeoutMs = 30_000;

/** Opens an HTTP listener with the limits that all listeners share. TLS would be added here. */
export async function openListener(endpoint: Endpoint, handler: RequestListener): Promise<Server> {
    const server = createServer(
        {
            maxHeaderSize: maxHeaderBytes,
            headersTimeout: headersTimeoutMs,
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

/** Period at which a closing listener closes connections that have become idle, in milliseconds. */
const closeIdlePeriodMs = 100;

/** Stops accepting connections, closes the idle ones and waits for the requests in flight. */
export function closeListener(server: Server): Promise<void> {
    return new Promise(resolve => {
        // A kept-alive connection would otherwise hold the server open after its last response.
        const timer = setInterval(() => server.closeIdleConnections(), closeIdlePeriodMs);
        server.close(() => {
            clearInterval(timer);
            resolve();
        });
        server.closeIdleConnections();
    });
}
