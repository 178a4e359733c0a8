import { BackendServerState, ReadinessState, type Event, type Location } from "@tanagertray/core";
import { createBoard, resolveSettings, type Board, type Closeable } from "@tanagertray/daemon";
import { createPeers } from "@tanagertray/daemon/adapters/peers/peers";
import type { PeerTransport } from "@tanagertray/daemon/adapters/peers/transport";
import {
    createPlatformClient,
    type PlatformTransport,
} from "@tanagertray/daemon/adapters/platform/platformClient";
import { createBackendServers } from "@tanagertray/daemon/controllers/backendServers";
import { createConfigurationController } from "@tanagertray/daemon/controllers/configuration";
import { createDepartureRow } from "@tanagertray/daemon/controllers/departureRow";
import { createDomainRow } from "@tanagertray/daemon/controllers/domainRow";
import { createHeadDuty } from "@tanagertray/daemon/controllers/headDuty";
import { createHeadReading } from "@tanagertray/daemon/controllers/headReading";
import { createMembership } from "@tanagertray/daemon/controllers/membership";
import { createPeerDepartures } from "@tanagertray/daemon/controllers/peerDepartures";
import { createReadiness } from "@tanagertray/daemon/controllers/readiness";
import { createRouting } from "@tanagertray/daemon/controllers/routing";
import { createTopology } from "@tanagertray/daemon/controllers/topology";
import type { EventQueue } from "./eventQueue.js";

/** Period of the clock ticks and of the announcements of backend servers, in milliseconds. */
const tickMs = 100;
const announcementMs = 1_000;
/** Longest time in which the platform delays its answer to a read of the head row, in milliseconds. */
const watchMs = 3_000;
const slots = 11;
/** Wall-clock time at which virtual time starts, in milliseconds since the epoch. */
const epochMs = 1_700_000_000_000;

/** The control plane of one daemon, without calls, in virtual time. */
export interface EmulatedHost extends Closeable {
    readonly location: Location;
    readonly address: string;
    readonly board: Board;
    isReady(): boolean;
    /** Announces that the backend server beside the daemon is leaving. */
    drain(): void;
}

export interface EmulatedHostOptions {
    readonly location: Location;
    /** `address:port` of the peer listener. */
    readonly address: string;
    /** Service of the backend server beside the daemon. */
    readonly service: string;
    readonly queue: EventQueue;
    readonly random: () => number;
    readonly transport: PeerTransport;
    readonly platform: PlatformTransport;
    /**
     * Longest time in which an accepted version should be in force, in milliseconds. The platform delays its answer to a
     * read of the head row for half of it.
     * @default the default of the settings, with a delay of 3 s
     */
    readonly freshnessMs?: number | undefined;
    /**
     * Length of each turn of the event loop, in milliseconds, if the host is short of processor time. Turns begin at the
     * multiples of it, each with the tick of the clock that became due in the one before.
     * @default turns that take no time
     */
    readonly turnMs?: number | undefined;
    /** @default () => undefined */
    readonly onEvent?: (event: Event) => void;
}

/** Starts the product's controllers, its platform client and its peer adapter on a virtual clock. */
export function startEmulatedHost(options: EmulatedHostOptions): EmulatedHost {
    const { location, address, service, queue, random, freshnessMs, turnMs } = options;
    const { onEvent = () => undefined } = options;
    const settings = resolveSettings({
        ...location,
        listen: { calls: "127.0.0.1:1", peer: address, admin: "127.0.0.1:1" },
        platform: {
            url: "http://127.0.0.1:1",
            patienceMs: 0,
            ...(freshnessMs === undefined ? { watchMs } : { watchMs: freshnessMs / 2, freshnessMs }),
        },
        trustedNetwork: true,
    });
    const now = () => epochMs + Math.round(queue.now());
    const startedAt = now();
    const board = createBoard(settings, startedAt);
    const clock = board.claimValue("clock");
    const announcements = board.claimFeed("announcements");
    (["peerEvents", "membershipEvents", "readinessEvents", "configurationEvents"] as const).forEach(feed =>
        board.follow(feed, onEvent),
    );
    const parts: Closeable[] = [
        createHeadDuty(board, { random }),
        createHeadReading(board, { random }),
        createConfigurationController(board),
        createReadiness(board),
        createBackendServers(board),
        createPeerDepartures(board),
        createRouting(board),
        createMembership(board, { random }),
        createTopology(board),
        createDomainRow(board, { random }),
        createDepartureRow(board, { random }),
        createPlatformClient(board, () => options.platform, { now }),
        createPeers(board, { transport: options.transport, random }),
    ];
    let isRunning = true;
    let state: BackendServerState = BackendServerState.Serving;
    let counter = 0;

    function announce(): void {
        counter += 1;
        announcements.append({
            id: `server-${location.host}`,
            service,
            address: address.replace(/:.*/, ":8080"),
            incarnation: startedAt,
            counter,
            state,
            slots,
        });
    }

    function repeat(delayMs: number, periodMs: number, run: () => void): void {
        queue.schedule(queue.now() + delayMs, () => {
            if (isRunning) {
                run();
                repeat(periodMs, periodMs, run);
            }
        });
    }

    const tickPeriodMs = turnMs ?? tickMs;
    const firstTickMs = turnMs === undefined ? random() * tickMs : turnMs - (queue.now() % turnMs);
    const pausedForMs = tickPeriodMs - tickMs;
    repeat(firstTickMs, tickPeriodMs, () => clock.write({ now: now(), pausedForMs }));
    repeat(random() * announcementMs, announcementMs, announce);
    return {
        location,
        address,
        board,
        isReady: () => board.read("readiness").state === ReadinessState.Ready,
        drain() {
            state = BackendServerState.Draining;
            announce();
        },
        close() {
            isRunning = false;
            board.close();
            parts.length = 0;
        },
    };
}
