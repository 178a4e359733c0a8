import {
    BackendServerState,
    hasValidLease,
    isLeaving,
    isNewerAnnouncement,
    maxBackendServers,
    MessageKind,
    readAnnouncement,
    type Announcement,
    type BackendServer,
    type Departure,
    type DrainCommand,
    type IncomingMessage,
} from "@tanagertray/core";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";
import { createDepartureStore } from "./departureStore.js";
import { createHeldAnnouncements } from "./heldAnnouncements.js";
import { createEventReporters, createServerDraining } from "./serverDraining.js";

/** Maintains the list of this host's backend servers from their announcements and drain commands. */
export function createBackendServers(board: Board): Closeable {
    const servers = board.claimValue("backendServers");
    const reporters = createEventReporters(board);
    const { warn, reportChange } = reporters;
    const departures = createDepartureStore(board, warn);
    const draining = createServerDraining(board, { servers, departures, reporters });
    const self = board.read("settings").host;
    const held = createHeldAnnouncements(board, { apply: applyAnnouncement, warn });
    let isHistoryRestored = false;

    function handleEntry(entry: Announcement | DrainCommand): void {
        if (typeof entry === "object" && entry !== null && "kind" in entry) {
            draining.start(entry);
        } else {
            readAnnouncement(entry)
                .ifLeft(({ message, where }) => warn("backendServer.invalid", { message, field: where }))
                .ifRight(held.accept);
        }
    }

    function applyAnnouncement(announcement: Announcement): void {
        const current = board.read("backendServers");
        const known = current.get(announcement.id);
        departures.recordDraining(announcement, known);
        if (known === undefined && current.size >= maxBackendServers) {
            return warn("backendServer.tooMany", { id: announcement.id, limit: maxBackendServers });
        }
        if (known !== undefined && !isNewerAnnouncement(announcement, known)) {
            return;
        }
        const sharingAddress = [...current.values()].filter(
            other => other.address === announcement.address && other.id !== announcement.id,
        );
        if (sharingAddress.some(({ incarnation }) => incarnation > announcement.incarnation)) {
            return warn("backendServer.late", { id: announcement.id, address: announcement.address });
        }
        const departure = departures.get(announcement.id);
        const currentDeparture = isLeaving(departure, announcement) ? departure : undefined;
        const server = mergeAnnouncement(announcement, {
            known,
            currentDeparture,
            now: board.read("clock").now,
        });
        if (server.drainingSince !== undefined) {
            departures.record(server.id, { since: server.drainingSince, incarnation: server.incarnation });
        }
        const replaced = sharingAddress.filter(({ incarnation }) => incarnation < announcement.incarnation);
        const remaining = [...current].filter(([id]) => !replaced.some(other => other.id === id));
        servers.write(new Map(remaining).set(server.id, server));
        replaced.forEach(({ id, service }) => warn("backendServer.replaced", { id, service, by: server.id }));
        reportChange(server, known);
    }

    function restoreHistory(): void {
        const { isRead, departures: stored } = board.read("departureHistory");
        if (isRead && !isHistoryRestored) {
            isHistoryRestored = true;
            stored.forEach(draining.restore);
        }
        held.release();
    }

    function handleMessage({ message }: IncomingMessage): void {
        if (message.kind === MessageKind.Watermark && message.host === self) {
            message.departures?.forEach(draining.restore);
        }
    }

    function dropExpired(): void {
        held.release();
        const { now, pausedForMs } = board.read("clock");
        const current = board.read("backendServers");
        departures.removeExpired(current);
        // Announcements that arrived during a pause of the process are read after this tick.
        const readUntil = now - pausedForMs;
        const alive = [...current].filter(([, server]) => hasValidLease(server, readUntil));
        if (alive.length < current.size) {
            servers.write(new Map(alive));
            [...current.values()]
                .filter(server => !hasValidLease(server, readUntil))
                .forEach(({ id, service }) => {
                    departures.recordSilence(id);
                    warn("backendServer.silent", { id, service });
                });
        }
    }

    const subscriptions = [
        board.follow("announcements", handleEntry),
        board.follow("peerInbox", handleMessage),
        board.observe(["departureHistory"], restoreHistory),
        board.observe(["clock"], dropExpired),
    ];
    return { close: () => subscriptions.forEach(subscription => subscription.close()) };
}

interface MergeInput {
    readonly known: BackendServer | undefined;
    /** Departure that applies to the announced incarnation, if any. */
    readonly currentDeparture: Departure | undefined;
    readonly now: number;
}

/** Draining lasts for the rest of the incarnation, whatever state the backend server announces later. */
function mergeAnnouncement(
    announcement: Announcement,
    { known, currentDeparture, now }: MergeInput,
): BackendServer {
    const sameIncarnation = known?.incarnation === announcement.incarnation ? known : undefined;
    const announcesDraining = announcement.state === BackendServerState.Draining;
    const drainingSince =
        sameIncarnation?.drainingSince ?? currentDeparture?.since ?? (announcesDraining ? now : undefined);
    return {
        ...announcement,
        announcedAt: now,
        firstSeenAt: sameIncarnation?.firstSeenAt ?? now,
        ...(drainingSince === undefined ? {} : { state: BackendServerState.Draining, drainingSince }),
    };
}
