import { createServer } from "node:http";
import { closeServer, listen, sendJson } from "./http/messages.js";
import { createPlatformBoard, type PlatformCounters, type PlatformFaults } from "./platform/board.js";
import { createFaultControl } from "./platform/faultControl.js";
import { servePlatform } from "./platform/requestHandlers.js";
import { createRateLimits } from "./platform/rateLimits.js";
import { createObjectStore } from "./platform/objectStore.js";
import { createTable } from "./platform/table.js";

export type { PlatformCounters, PlatformFaults } from "./platform/board.js";

export interface PlatformOptions {
    /** @default 0, a free port */
    port?: number;
    /** @default "127.0.0.1" */
    address?: string;
    faults?: Partial<PlatformFaults>;
    /** Clock of the rate limits, in milliseconds since the epoch. */
    now?: () => number;
}

export interface Platform {
    readonly url: string;
    readonly port: number;
    /** Live view of the faults; assigning a property changes the fault. */
    readonly faults: PlatformFaults;
    counters(): PlatformCounters;
    close(): Promise<void>;
}

/**
 * Starts a stand-in for the platform's table service and object store.
 *
 * @example
 * ```ts
 * const platform = await startPlatform({ port: 9000 });
 * platform.faults.outage = true;
 * await platform.close();
 * ```
 */
export async function startPlatform(options: PlatformOptions = {}): Promise<Platform> {
    const board = createPlatformBoard(options.faults);
    const faultControl = createFaultControl(board);
    const limits = createRateLimits(board, options.now);
    const parts = {
        board,
        faultControl,
        limits,
        table: createTable(board),
        objects: createObjectStore(board),
    };
    const server = createServer((request, response) => {
        servePlatform(request, response, parts).catch((error: unknown) =>
            response.headersSent || response.destroyed
                ? response.destroy()
                : sendJson(response, 400, { title: String(error) }),
        );
    });
    let openConnections = 0;
    server.on("connection", socket => {
        limits.noteConnections(++openConnections);
        socket.once("close", () => limits.noteConnections(--openConnections));
    });
    const { url, port } = await listen(server, options.port, options.address);
    return {
        url,
        port,
        faults: faultControl.view,
        counters: () => ({ ...board.read("counters") }),
        close: () => closeServer(server),
    };
}
