import {
    BackendServerState,
    EventLevel,
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
    type Event,
    type HostDeparture,
    type IncomingMessage,
} from "@tanagertray/core";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";
import { createDepartureStore } from "./departureStore.js";

/** Maintains the list of this host's backend servers from their announcements and drain commands. */
export function createBackendServers(board: Board): Closeable {
    const servers = board.claimValue("backendServers");
    const { warn, inform, reportChange } = createEventReporters(board);
    const departures = createDepartureStore(board, warn);
    const self = board.read("settings").host;

    function handleEntry(entry: Announcement | DrainCommand): void {
        if (typeof entry === "object" && entry !== null && "kind" in entry) {
            applyDrainCommand(entry);
        } else {
            readAnnouncement(entry)
                .ifLeft(({ message, where }) => warn("backendServer.invalid", { message, field: where }))
                .ifRight(applyAnnouncement);
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

    function applyDrainCommand({ id }: DrainCommand): void {
        const known = board.read("backendServers").get(id);
        if (known === undefined) {
            // Its announcements may still arrive, for example after a restart of this daemon.
            departures.record(id, { since: board.read("clock").now, incarnation: undefined });
            return warn("backendServer.unknown", { id });
        }
        const drainingSince = known.drainingSince ?? board.read("clock").now;
        departures.record(id, { since: drainingSince, incarnation: known.incarnation });
        startDraining(known, drainingSince);
    }

    function startDraining(known: BackendServer, drainingSince: number): void {
        const server = { ...known, state: BackendServerState.Draining, drainingSince };
        servers.update(current => new Map(current).set(known.id, server));
        reportChange(server, known);
    }

    /** Restores a departure that this host acknowledged before its restart, as returned by a peer. */
    function restoreDeparture({ id, incarnation }: HostDeparture): void {
        const { now } = board.read("clock");
        if (isLeaving(departures.get(id), { incarnation })) {
            return;
        }
        departures.record(id, { since: now, incarnation });
        inform("backendServer.departureRestored", { id, incarnation });
        const known = board.read("backendServers").get(id);
        if (known !== undefined && known.drainingSince === undefined && known.incarnation <= incarnation) {
            startDraining(known, now);
        }
    }

    function handleMessage({ message }: IncomingMessage): void {
        if (message.kind === MessageKind.Watermark && message.host === self) {
            message.departures?.forEach(restoreDeparture);
        }
    }

    function dropExpired(): void {
        const { now } = board.read("clock");
        const current = board.read("backendServers");
        departures.removeExpired(current);
        const alive = [...current].filter(([, server]) => hasValidLease(server, now));
        if (alive.length < current.size) {
            servers.write(new Map(alive));
            [...current.values()]
                .filter(server => !hasValidLease(server, now))
                .forEach(({ id, service }) => warn("backendServer.silent", { id, service }));
        }
    }

    const subscriptions = [
        board.follow("announcements", handleEntry),
        board.follow("peerInbox", handleMessage),
        board.observe(["clock"], dropExpired),
    ];
    return { close: () => subscriptions.forEach(subscription => subscription.close()) };
}

function createEventReporters(board: Board) {
    const events = board.claimFeed("backendServerEvents");
    const report = (level: EventLevel) => (name: string, fields: Event["fields"]) =>
        events.append({ name, level, fields });
    const inform = report(EventLevel.Info);
    return {
        warn: report(EventLevel.Warn),
        inform,
        reportChange({ id, service, state, incarnation }: BackendServer, known: BackendServer | undefined) {
            if (known?.state !== state || known.incarnation !== incarnation) {
                inform("backendServer.changed", { id, service, state, incarnation });
            }
        },
    };
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
