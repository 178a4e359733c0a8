import type { Event } from "@tanagertray/core";
import { createAdmin } from "./adapters/admin/admin.js";
import { createCalls } from "./adapters/calls/createCalls.js";
import { createClock } from "./adapters/clock.js";
import { closeListener, openListener } from "./adapters/httpListener.js";
import { createLog } from "./adapters/log.js";
import { createPeers } from "./adapters/peers/peers.js";
import type { CallDialect } from "./adapters/calls/dialect.js";
import { ownDialect } from "./adapters/calls/ownDialect.js";
import { createHttpTransport } from "./adapters/platform/httpTransport.js";
import { createPlatformClient, type TransportFactory } from "./adapters/platform/platformClient.js";
import { createTraces } from "./adapters/traces.js";
import { createBoard, type Board } from "./board.js";
import type { Closeable } from "./closeable.js";
import { createBackendServers } from "./controllers/backendServers.js";
import { createPeerDepartures } from "./controllers/peerDepartures.js";
import { createConfigurationController } from "./controllers/configuration.js";
import { createDomainRow } from "./controllers/domainRow.js";
import { createHeadReading } from "./controllers/headReading.js";
import { createMembership } from "./controllers/membership.js";
import { createReadiness } from "./controllers/readiness.js";
import { createRevisions } from "./controllers/revisions.js";
import { createRouting } from "./controllers/routing.js";
import { createTopology } from "./controllers/topology.js";
import { drainLimitMs, idleGraceMs, waitForCalls } from "./draining.js";
import { steadyNow } from "./steadyClock.js";
import type { ResolvedSettings } from "./settings/settings.js";

export interface Daemon extends Closeable {
    readonly board: Board;
    /** Writes an event of the process itself to the log and the counters. */
    note(event: Event): void;
    /** Asks for shutdown and waits until the calls in flight are done or the drain limit has passed. */
    shutDown(): Promise<void>;
    close(): Promise<void>;
}

/** The parts of a daemon that speak with the world around it. Each has the project's own form by default. */
export interface DaemonParts {
    /**
     * Carries requests to the table service and object store.
     * @default createHttpTransport
     */
    readonly createTransport?: TransportFactory;
    /**
     * Takes what backend servers say of themselves.
     * @default endpoints of the admin listener
     */
    readonly createAnnouncements?: (board: Board, note: (event: Event) => void) => Promise<Closeable>;
    /**
     * How callers and backend servers speak.
     * @default ownDialect
     */
    readonly dialect?: CallDialect;
}

/**
 * Starts a daemon: one blackboard, its controllers and its adapters.
 * The lists below are the map of the program.
 *
 * @example
 * ```ts
 * const daemon = await startDaemon(resolveSettings(settings));
 * await daemon.shutDown();
 * ```
 */
export async function startDaemon(settings: ResolvedSettings, parts: DaemonParts = {}): Promise<Daemon> {
    const { createTransport = createHttpTransport, createAnnouncements, dialect = ownDialect } = parts;
    const board = createBoard(settings, steadyNow());
    const shutdown = board.claimValue("shutdown");
    const events = board.claimFeed("daemonEvents");
    const note = (event: Event) => events.append(event);
    const controllers = [
        createHeadReading(board),
        createConfigurationController(board),
        createReadiness(board),
        createBackendServers(board),
        createPeerDepartures(board),
        createRouting(board),
        createRevisions(board),
        createMembership(board),
        createTopology(board),
        createDomainRow(board),
    ];
    const calls = await createCalls(board, { dialect });
    const peerServer = await openListener(settings.listen.peer, calls.handleHop);
    peerServer.on("connection", calls.noteConnection);
    let hopsClosed = Promise.resolve();
    const adapters = [
        createLog(board),
        createTraces(board),
        createClock(board),
        createPlatformClient(board, createTransport),
        await createAdmin(board, { takesAnnouncements: createAnnouncements === undefined }),
        ...(createAnnouncements === undefined ? [] : [await createAnnouncements(board, note)]),
        { close: () => hopsClosed },
        createPeers(board, { server: peerServer }),
        {
            async close() {
                hopsClosed = closeListener(peerServer, { idleGraceMs: idleGraceMs(board) });
                await calls.close();
            },
        },
    ];

    let closing: Promise<void> | undefined;

    async function closeParts(): Promise<void> {
        const { lingerMs } = settings.shutdown;
        const requestedAt = steadyNow();
        shutdown.write({
            requested: true,
            lingersUntil: requestedAt + lingerMs,
            cutsAt: requestedAt + drainLimitMs(board),
        });
        await new Promise(resolve => setTimeout(resolve, lingerMs));
        // The calls finish first, while the adapters that they depend on still work.
        for (const adapter of adapters.toReversed()) {
            await adapter.close();
        }
        controllers.forEach(controller => controller.close());
        board.close();
    }

    function close(): Promise<void> {
        closing ??= closeParts();
        return closing;
    }

    return { board, note, shutDown: () => waitForCalls(board, close()), close };
}
