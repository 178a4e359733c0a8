import { createAdmin } from "./adapters/admin.js";
import { createCalls } from "./adapters/calls/createCalls.js";
import { createClock } from "./adapters/clock.js";
import { closeListener, openListener } from "./adapters/httpListener.js";
import { createPlatformClient } from "./adapters/platform.js";
import { createBoard, type Board } from "./board.js";
import type { Closeable } from "./closeable.js";
import { createBackendServers } from "./controllers/backendServers.js";
import { createConfigurationController } from "./controllers/configuration.js";
import { createHeadReading } from "./controllers/headReading.js";
import { createReadiness } from "./controllers/readiness.js";
import { createRevisions } from "./controllers/revisions.js";
import { createRouting } from "./controllers/routing.js";
import type { ResolvedSettings } from "./settings/settings.js";

export interface Daemon extends Closeable {
    readonly board: Board;
    close(): Promise<void>;
}

/**
 * Starts a daemon: one blackboard, its controllers and its adapters.
 * The lists below are the map of the program.
 */
export async function startDaemon(settings: ResolvedSettings): Promise<Daemon> {
    const board = createBoard(settings, Date.now());
    const controllers = [
        createHeadReading(board),
        createConfigurationController(board),
        createReadiness(board),
        createBackendServers(board),
        createRouting(board),
        createRevisions(board),
    ];
    const shutdown = board.claimValue("shutdown");
    const calls = await createCalls(board);
    const peerServer = await openListener(settings.listen.peer, calls.handleHop);
    const adapters = [
        createClock(board),
        createPlatformClient(board),
        await createAdmin(board),
        calls,
        { close: () => closeListener(peerServer) },
    ];
    return {
        board,
        async close() {
            shutdown.write({ requested: true });
            await Promise.all(adapters.map(adapter => adapter.close()));
            controllers.forEach(controller => controller.close());
            board.close();
        },
    };
}
