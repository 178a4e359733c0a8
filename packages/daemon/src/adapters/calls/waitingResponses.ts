import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Listeners by connection. One of the socket's own for each call would pass its limit with a long pipeline. */
const listeners = new WeakMap<Socket, Set<() => void>>();

/**
 * Runs a listener when the connection of a response closes that waits behind another one. The HTTP library tells only
 * the response that is next.
 *
 * @returns stops it; `undefined` when the response does not wait, and learns of the close itself
 */
export function onceConnectionCloses(
    { req, socket }: ServerResponse,
    listener: () => void,
): (() => void) | undefined {
    if (socket !== null) {
        return undefined;
    }
    const others = listeners.get(req.socket) ?? follow(req.socket);
    others.add(listener);
    return () => others.delete(listener);
}

function follow(socket: Socket): Set<() => void> {
    const created = new Set<() => void>();
    listeners.set(socket, created);
    socket.once("close", () => created.forEach(listener => listener()));
    return created;
}
