import type { IncomingMessage, Server } from "node:http";
import { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { WebSocket, WebSocketServer } from "ws";
import { compressionLevel, compressionThresholdBytes, maxMessageBytes } from "./constants.js";
import type { PeerSocket, PeerTransport } from "./transport.js";

const socketOptions = {
    maxPayload: maxMessageBytes,
    perMessageDeflate: {
        threshold: compressionThresholdBytes,
        zlibDeflateOptions: { level: compressionLevel },
        // Large messages are rare, so links do not keep compression state in memory between them.
        serverNoContextTakeover: true,
        clientNoContextTakeover: true,
    },
} as const;
/** Error code of the WebSocket library for a message larger than `maxPayload`. */
const messageTooLargeCode = "WS_ERR_UNSUPPORTED_MESSAGE_LENGTH";

/**
 * Creates a transport over WebSocket connections.
 *
 * @param server - listener that receives the upgrade requests of other daemons
 * @example
 * ```ts
 * const transport = createWebSocketTransport(await openListener(endpoint, handler));
 * const peers = createPeers(board, { transport });
 * ```
 */
export function createWebSocketTransport(server: Server): PeerTransport {
    return {
        // The peer adapter bounds the time to connect. A timer here would end it before an answer that has arrived is read.
        dial(address, path) {
            const webSocket = new WebSocket(`ws://${address}${path}`, socketOptions);
            let connection: Duplex | undefined;
            webSocket.once("upgrade", response => (connection = response.socket));
            return createWebSocketPeer(webSocket, () => connection);
        },
        accept({ refusalReason, onRefused, onAccepted }) {
            const webSocketServer = new WebSocketServer({ noServer: true, ...socketOptions });
            const handleUpgrade = (request: IncomingMessage, socket: Duplex, head: Buffer) => {
                const reason = refusalReason(request.url);
                if (reason !== undefined) {
                    onRefused(reason);
                    socket.destroy();
                    return;
                }
                webSocketServer.handleUpgrade(request, socket, head, webSocket =>
                    onAccepted(createWebSocketPeer(webSocket, () => socket)),
                );
            };
            server.on("upgrade", handleUpgrade);
            return { close: () => void server.off("upgrade", handleUpgrade) };
        },
    };
}

function createWebSocketPeer(socket: WebSocket, connection: () => Duplex | undefined): PeerSocket {
    return {
        listen({ onOpen, onFrame, onTooLarge, onClose }) {
            socket.on("open", onOpen);
            socket.on("message", (data: Buffer, isBinary: boolean) =>
                onFrame(isBinary && Buffer.isBuffer(data) ? data : Buffer.alloc(0)),
            );
            // Every error is followed by "close", whose handler removes the link.
            socket.on("error", (error: NodeJS.ErrnoException) => {
                if (error.code === messageTooLargeCode) {
                    onTooLarge();
                }
            });
            socket.on("close", onClose);
        },
        isOpen: () => socket.readyState === socket.OPEN,
        bufferedBytes: () => socket.bufferedAmount,
        receivedBytes() {
            const stream = connection();
            return stream instanceof Socket ? stream.bytesRead : 0;
        },
        send: frame => socket.send(frame, { binary: true }, () => undefined),
        close: code => socket.close(code),
        terminate: () => socket.terminate(),
    };
}
