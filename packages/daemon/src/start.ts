import { createAdmin } from "./adapters/admin/admin.js";
import { createCalls } from "./adapters/calls/createCalls.js";
import { createClock } from "./adapters/clock.js";
import { closeListener, keepAliveTimeoutMs, openListener } from "./adapters/httpListener.js";
import { createLog } from "./adapters/log.js";
import { createPeers } from "./adapters/peers/peers.js";
import { createPlatformClient } from "./adapters/platform.js";
import { createTraces } from "./adapters/traces.js";
import { createBoard, type Board } from "./board.js";
import type { Closeable } from "./closeable.js";
import { createBackendServers } from "./controllers/backendServers.js";
import { createConfigurationController } from "./controllers/configuration.js";
import { createDomainRow } from "./controllers/domainRow.js";
import { createHeadReading } from "./controllers/headReading.js";
import { createMembership } from "./controllers/membership.js";
import { createReadiness } from "./controllers/readiness.js";
import { createRevisions } from "./controllers/revisions.js";
import { createRouting } from "./controllers/routing.js";
import { createTopology } from "./controllers/topology.js";
import { waitForCalls } from "./draining.js";
import type { ResolvedSettings } from "./settings/settings.js";

export interface Daemon extends Closeable {
    readonly board: Board;
    /** Asks for shutdown and waits until the calls in flight are done or the drain limit has passed. */
    shutDown(): Promise<void>;
    close(): Promise<void>;
}

/**
 * Starts a daemon: one blackboard, its controllers and its adapters.
 * The lists below are the map of the program.
 */
export async function startDaemon(settings: ResolvedSettings): Promise<Daemon> {
    const board = createBoard(settings, Date.now());
    const shutdown = board.claimValue("shutdown");
    const controllers = [
        createHeadReading(board),
        createConfigurationController(board),
        createReadiness(board),
        createBackendServers(board),
        createRouting(board),
        createRevisions(board),
        createMembership(board),
        createTopology(board),
        createDomainRow(board),
    ];
    const calls = await createCalls(board);
    const peerServer = await openListener(settings.listen.peer, calls.handleHop);
    let hopsClosed = Promise.resolve();
    const adapters = [
        createLog(board),
        createTraces(board),
        createClock(board),
        createPlatformClient(board),
        await createAdmin(board),
        { close: () => hopsClosed },
        createPeers(board, { server: peerServer }),
        {
            async close() {
                hopsClosed = closeListener(peerServer, { idleGraceMs: keepAliveTimeoutMs });
                await calls.close();
            },
        },
    ];

    async function close(): Promise<void> {
        shutdown.write({ requested: true });
        // The calls finish first, while the adapters that they depend on still work.
        for (const adapter of adapters.toReversed()) {
            await adapter.close();
        }
        controllers.forEach(controller => controller.close());
        board.close();
    }

    return { board, shutDown: () => waitForCalls(board, close()), close };
}
