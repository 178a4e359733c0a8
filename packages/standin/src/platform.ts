import { createServer } from "node:http";
import { closeServer, listen, sendJson } from "./http/messages.js";
import { createPlatformBoard, type PlatformCounters, type PlatformFaults } from "./platform/board.js";
import { createFaultSwitches } from "./platform/faults.js";
import { servePlatform } from "./platform/http.js";
import { createLimits } from "./platform/limits.js";
import { createObjectStore } from "./platform/objectStore.js";
import { createTable } from "./platform/table.js";

export type { PlatformCounters, PlatformFaults } from "./platform/board.js";

export interface PlatformOptions {
    /** @default 0, a free port */
    port?: number;
    /** @default "127.0.0.1" */
    address?: string;
    faults?: Partial<PlatformFaults>;
    /** Clock of the limits in milliseconds. */
    now?: () => number;
}

export interface Platform {
    readonly url: string;
    readonly port: number;
    /** Live view of the faults: an assignment switches the fault. */
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
    const switches = createFaultSwitches(board);
    const limits = createLimits(board, options.now);
    const parts = {
        board,
        switches,
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
    let open = 0;
    server.on("connection", socket => {
        limits.noteConnections(++open);
        socket.once("close", () => limits.noteConnections(--open));
    });
    const { url, port } = await listen(server, options.port, options.address);
    return {
        url,
        port,
        faults: switches.view,
        counters: () => ({ ...board.read("counters") }),
        close: () => closeServer(server),
    };
}
