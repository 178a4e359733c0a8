import type { Event } from "@tanagertray/core";
import { createAdminListener } from "./adapters/admin/adminListener.js";
import { createCalls } from "./adapters/calls/createCalls.js";
import { createClock } from "./adapters/clock.js";
import { closeListener, openListener } from "./adapters/httpListener.js";
import { createLog } from "./adapters/log.js";
import { createPeers } from "./adapters/peers/peers.js";
import { createWebSocketTransport } from "./adapters/peers/webSocketTransport.js";
import type { CallDialect } from "./adapters/calls/dialect.js";
import { nativeDialect } from "./adapters/calls/nativeDialect.js";
import { createHttpTransport } from "./adapters/platform/httpTransport.js";
import { createPlatformClient, type TransportFactory } from "./adapters/platform/platformClient.js";
import { createTraces } from "./adapters/traces.js";
import { createBoard, type Board } from "./board.js";
import type { Closeable } from "./closeable.js";
import { createBackendServers } from "./controllers/backendServers.js";
import { createConfigurationController } from "./controllers/configuration.js";
import { createDepartureRow } from "./controllers/departureRow.js";
import { createDomainRow } from "./controllers/domainRow.js";
import { createHeadDuty } from "./controllers/headDuty.js";
import { createHeadReading } from "./controllers/headReading.js";
import { createMembership } from "./controllers/membership.js";
import { createPeerDepartures } from "./controllers/peerDepartures.js";
import { createReadiness } from "./controllers/readiness.js";
import { createRevisions } from "./controllers/revisions.js";
import { createRouting } from "./controllers/routing.js";
import { createTopology } from "./controllers/topology.js";
import { drainLimitMs, idleGraceMs, waitForCalls } from "./draining.js";
import { steadyNow } from "./steadyClock.js";
import type { ResolvedSettings } from "./settings/settings.js";

export interface Daemon extends Closeable {
    readonly board: Board;
    /** Adds an event of the process itself to the log and the metrics. */
    reportEvent(event: Event): void;
    /** Shuts down, and waits until the calls in flight have finished or the drain limit has passed. */
    shutDown(): Promise<void>;
    /** Shuts down, and waits until every adapter has closed. */
    close(): Promise<void>;
}

/** Replacements for the adapters that implement the project's own protocols. */
export interface AdapterOverrides {
    /**
     * Carries requests to the table service and object store.
     * @default createHttpTransport
     */
    readonly createTransport?: TransportFactory;
    /**
     * Receives the announcements of backend servers.
     * @default endpoints of the admin listener
     */
    readonly createAnnouncements?: (board: Board, reportEvent: (event: Event) => void) => Promise<Closeable>;
    /**
     * HTTP conventions of callers and backend servers.
     * @default nativeDialect
     */
    readonly dialect?: CallDialect;
}

/**
 * Starts a daemon: one blackboard, its controllers and its adapters. All of them are listed below.
 *
 * @example
 * ```ts
 * const daemon = await startDaemon(resolveSettings(settings));
 * await daemon.shutDown();
 * ```
 */
export async function startDaemon(
    settings: ResolvedSettings,
    overrides: AdapterOverrides = {},
): Promise<Daemon> {
    const { createTransport = createHttpTransport, createAnnouncements, dialect = nativeDialect } = overrides;
    const board = createBoard(settings, steadyNow());
    const shutdown = board.claimValue("shutdown");
    const events = board.claimFeed("daemonEvents");
    const reportEvent = (event: Event) => events.append(event);
    const controllers = [
        createHeadDuty(board),
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
        createDepartureRow(board),
    ];
    const calls = await createCalls(board, { dialect });
    const peerServer = await openListener(settings.listen.peer, calls.handleHop);
    peerServer.on("connection", calls.noteConnection);
    let peerListenerClosed = Promise.resolve();
    const adapters = [
        createLog(board),
        createTraces(board),
        createClock(board),
        createPlatformClient(board, createTransport),
        await createAdminListener(board, { acceptsAnnouncements: createAnnouncements === undefined }),
        ...(createAnnouncements === undefined ? [] : [await createAnnouncements(board, reportEvent)]),
        // Closes after the control links, which would keep the listener open.
        { close: () => peerListenerClosed },
        createPeers(board, { transport: createWebSocketTransport(peerServer) }),
        {
            async close() {
                peerListenerClosed = closeListener(peerServer, { idleGraceMs: idleGraceMs(board) });
                await calls.close();
            },
        },
    ];

    let closing: Promise<void> | undefined;

    async function closeAll(): Promise<void> {
        const { lingerMs } = settings.shutdown;
        const requestedAt = steadyNow();
        shutdown.write({
            requested: true,
            acceptsCallsUntil: requestedAt + lingerMs,
            abortsCallsAt: requestedAt + drainLimitMs(board),
        });
        await new Promise(resolve => setTimeout(resolve, lingerMs));
        // Closes in reverse order, so that calls finish while the adapters that they depend on still work.
        for (const adapter of adapters.toReversed()) {
            await adapter.close();
        }
        controllers.forEach(controller => controller.close());
        board.close();
    }

    function close(): Promise<void> {
        closing ??= closeAll();
        return closing;
    }

    return { board, reportEvent, shutDown: () => waitForCalls(board, close()), close };
}
