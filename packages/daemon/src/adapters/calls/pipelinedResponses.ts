import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Close listeners by connection. One on the socket for each call would exceed its listener limit in a long pipeline. */
const listenersBySocket = new WeakMap<Socket, Set<() => void>>();

/**
 * Listens for the close of the connection of a response that is queued behind another one. The HTTP library emits `close`
 * only on the response that is next to be sent.
 *
 * @returns a function that removes the listener; `undefined` when the response is not queued and emits `close` itself
 */
export function onceConnectionCloses(
    { req, socket }: ServerResponse,
    listener: () => void,
): (() => void) | undefined {
    if (socket !== null) {
        return undefined;
    }
    const socketListeners = listenersBySocket.get(req.socket) ?? listenForClose(req.socket);
    socketListeners.add(listener);
    return () => socketListeners.delete(listener);
}

function listenForClose(socket: Socket): Set<() => void> {
    const closeListeners = new Set<() => void>();
    listenersBySocket.set(socket, closeListeners);
    socket.once("close", () => closeListeners.forEach(listener => listener()));
    return closeListeners;
}
