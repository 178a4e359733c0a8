import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Listeners by connection. One on the socket for each call would exceed its listener limit in a long pipeline. */
const listenersBySocket = new WeakMap<Socket, Set<() => void>>();

/**
 * Calls the listener when the caller closes or resets the connection. The HTTP library emits `close` on a response only
 * after it has closed its own end too, which takes another turn of the event loop, and not on a response that is queued
 * behind another one.
 *
 * @returns a function that removes the listener
 */
export function onceCallerLeaves({ req }: ServerResponse, listener: () => void): () => void {
    const socketListeners = listenersBySocket.get(req.socket) ?? watch(req.socket);
    socketListeners.add(listener);
    return () => socketListeners.delete(listener);
}

function watch(socket: Socket): Set<() => void> {
    const listeners = new Set<() => void>();
    listenersBySocket.set(socket, listeners);
    const notify = () => listeners.forEach(listener => listener());
    socket.once("end", notify);
    socket.once("close", notify);
    return listeners;
}
