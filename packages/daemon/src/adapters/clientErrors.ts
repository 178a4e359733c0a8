import type { Server, ServerResponse } from "node:http";
import { Socket } from "node:net";
import type { Duplex } from "node:stream";

/** Statuses by error code of the HTTP library, the same as in its default handler. */
const statusByErrorCode: Readonly<Record<string, string>> = {
    HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
    HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
    ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};
const defaultStatus = "400 Bad Request";

/**
 * Responds to malformed requests and to requests that time out while being received. The default handler of the HTTP
 * library also responds while an earlier request on the connection is in progress. The client takes that response for the
 * one to the earlier request: a 408 then says that a request did not run although it is running. Such a connection is
 * reset instead.
 */
export function handleClientErrors(server: Server): void {
    /** Response to the last request of each connection. Responses to earlier requests are sent before it. */
    const lastResponse = new WeakMap<Duplex, ServerResponse>();
    server.on("request", (request, response) => lastResponse.set(request.socket, response));
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        if (isInProgress(lastResponse.get(socket))) {
            resetConnection(socket);
        } else if (socket.writable) {
            const status = statusByErrorCode[error.code ?? ""] ?? defaultStatus;
            socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`, () => socket.destroy());
        } else {
            socket.destroy();
        }
    });
}

/** Whether the response is not fully sent, or the request not fully received. */
function isInProgress(response: ServerResponse | undefined): boolean {
    return response !== undefined && !(response.writableFinished && response.req.complete);
}

/** Connections of a plain HTTP server are sockets; the library types them as streams to allow other transports. */
function resetConnection(connection: Duplex): void {
    if (connection instanceof Socket) {
        connection.resetAndDestroy();
    } else {
        connection.destroy();
    }
}
