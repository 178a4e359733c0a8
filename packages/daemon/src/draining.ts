import { defaultDrainSeconds, ResourceKind, type Service } from "@tanagertray/core";
import { keepAliveTimeoutMs } from "./adapters/httpListener.js";
import type { Board } from "./board.js";

/** Additional time after the drain limit for the listeners to close, in milliseconds. */
const closeMarginMs = 1_000;

/** Time limit for calls in flight: the setting, or the longest drain time of the services in the configuration. */
export function drainLimitMs(board: Board): number {
    const { graceMs } = board.read("settings").shutdown;
    return graceMs ?? longestDrainMs(board);
}

/**
 * Time for which idle connections stay open after the listeners close. It is 0 with `lingerMs`: during that time each
 * response told the callers to close the connection (`connection: close`).
 */
export function idleGraceMs(board: Board): number {
    return board.read("settings").shutdown.lingerMs > 0 ? 0 : keepAliveTimeoutMs;
}

function longestDrainMs(board: Board): number {
    const resources = [...(board.read("configuration").held?.resources.values() ?? [])];
    const limits = resources
        .filter((resource): resource is Service => resource.kind === ResourceKind.Service)
        .map(service => service.drainMs);
    return limits.length === 0 ? defaultDrainSeconds * 1_000 : Math.max(...limits);
}

/** Waits until the listeners have closed, which includes their calls in flight, or until the drain limit has passed. */
export async function waitForCalls(board: Board, closed: Promise<void>): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    const limit = new Promise<void>(resolve => {
        timer = setTimeout(resolve, drainLimitMs(board) + closeMarginMs);
    });
    await Promise.race([closed, limit]);
    clearTimeout(timer);
}
