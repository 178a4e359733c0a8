import type { Server, ServerResponse } from "node:http";
import { Socket } from "node:net";
import type { Duplex } from "node:stream";

/** Statuses by error code of the HTTP library; those that it uses itself. */
const statuses: Readonly<Record<string, string>> = {
    HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
    HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
    ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};
const unreadableStatus = "400 Bad Request";

/**
 * Refuses bytes that cannot be read as a request, and requests that do not arrive in time. The HTTP library alone answers
 * them also while a request before them is in progress, and the client takes that answer for the one to its request: a 408
 * then says that a request did not run which is running. Such a connection is reset instead.
 */
export function refuseUnreadable(server: Server): void {
    /** Response to the last request of each connection; those before it are sent first. */
    const last = new WeakMap<Duplex, ServerResponse>();
    server.on("request", (request, response) => last.set(request.socket, response));
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        if (isInProgress(last.get(socket))) {
            reset(socket);
        } else if (socket.writable) {
            const status = statuses[error.code ?? ""] ?? unreadableStatus;
            socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`, () => socket.destroy());
        } else {
            socket.destroy();
        }
    });
}

/** Whether an answer is still due, or bytes of the request. */
function isInProgress(response: ServerResponse | undefined): boolean {
    return response !== undefined && !(response.writableFinished && response.req.complete);
}

/** Connections of a plain listener are sockets; the library types them as streams for those of others. */
function reset(connection: Duplex): void {
    if (connection instanceof Socket) {
        connection.resetAndDestroy();
    } else {
        connection.destroy();
    }
}
