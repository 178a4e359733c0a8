import { departureKey } from "@tanagertray/core";
import type { Board } from "../../board.js";

/**
 * Longest time that an acknowledgement waits for the platform, in milliseconds. A backend server that gets none within a
 * second announces its departure elsewhere, or exits.
 */
const maxStoreWaitMs = 700;

/**
 * Waits until the departure of a backend server, if it has announced one, is stored by the platform, so that it outlives
 * the processes of all hosts. A departure that the platform does not store in time is kept by this process and its peers,
 * and is stored as soon as the platform serves the write.
 *
 * @example
 * ```ts
 * announcements.append({ kind: "drain", id });
 * await whenDepartureStored(board, id);
 * sendJson(response, 200, {});
 * ```
 */
export async function whenDepartureStored(board: Board, id: string): Promise<void> {
    // The controllers process the announcement in microtasks.
    await new Promise(resolve => setImmediate(resolve));
    if (isStored(board, id)) {
        return;
    }
    await new Promise<void>(resolve => {
        const timer = setTimeout(finish, maxStoreWaitMs);
        const subscription = board.observe(["departureHistory", "departures"], () => {
            if (isStored(board, id)) {
                finish();
            }
        });

        function finish(): void {
            clearTimeout(timer);
            subscription.close();
            resolve();
        }
    });
}

function isStored(board: Board, id: string): boolean {
    const departure = board.read("departures").get(id);
    const { storedKeys } = board.read("departureHistory");
    return departure === undefined || storedKeys === undefined || storedKeys.has(departureKey(id, departure));
}
