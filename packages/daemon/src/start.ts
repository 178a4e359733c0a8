import { setImmediate } from "node:timers/promises";
import { createAdmin } from "./adapters/admin.js";
import { createCalls } from "./adapters/calls.js";
import { createClock } from "./adapters/clock.js";
import { closeListener, openListener } from "./adapters/httpListener.js";
import { createPeers } from "./adapters/peers/peers.js";
import { createPlatformClient } from "./adapters/platform.js";
import { createBoard, type Board } from "./board.js";
import type { Closeable } from "./closeable.js";
import { createBackendServers } from "./controllers/backendServers.js";
import { createConfigurationController } from "./controllers/configuration.js";
import { createDomainRow } from "./controllers/domainRow.js";
import { createHeadReading } from "./controllers/headReading.js";
import { createMembership } from "./controllers/membership.js";
import { createReadiness } from "./controllers/readiness.js";
import { createRevisions } from "./controllers/revisions.js";
import { createTopology } from "./controllers/topology.js";
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
        createRevisions(board),
        createMembership(board),
        createTopology(board),
        createDomainRow(board),
    ];
    const shutdown = board.claimValue("shutdown");
    const peerListener = await openListener(settings.listen.peer, (_request, response) => {
        response.writeHead(404).end();
    });
    const adapters = [
        createClock(board),
        createPlatformClient(board),
        createPeers(board, { server: peerListener }),
        await createAdmin(board),
        await createCalls(board),
    ];
    return {
        board,
        async close() {
            shutdown.write({ requested: true });
            // Lets the controllers see the request, and the peer adapter send what they say.
            await setImmediate();
            await Promise.all(adapters.map(adapter => adapter.close()));
            await closeListener(peerListener);
            controllers.forEach(controller => controller.close());
            board.close();
        },
    };
}
