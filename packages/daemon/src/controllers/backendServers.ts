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
import { createDepartureLog } from "./departureLog.js";

/** Keeps the backend servers of this host from their announcements and drain commands. */
export function createBackendServers(board: Board): Closeable {
    const servers = board.claimValue("backendServers");
    const { warn, inform, reportChange } = createReports(board);
    const departures = createDepartureLog(board, warn);
    const self = board.read("settings").host;

    function take(entry: Announcement | DrainCommand): void {
        if (typeof entry === "object" && entry !== null && "kind" in entry) {
            takeDrain(entry);
        } else {
            readAnnouncement(entry)
                .ifLeft(({ message, where }) => warn("backendServer.invalid", { message, field: where }))
                .ifRight(takeAnnouncement);
        }
    }

    function takeAnnouncement(announcement: Announcement): void {
        const current = board.read("backendServers");
        const known = current.get(announcement.id);
        departures.noteLeaving(announcement, known);
        if (known === undefined && current.size >= maxBackendServers) {
            return warn("backendServer.tooMany", { id: announcement.id, limit: maxBackendServers });
        }
        if (known !== undefined && !isNewerAnnouncement(announcement, known)) {
            return;
        }
        const rivals = [...current.values()].filter(
            other => other.address === announcement.address && other.id !== announcement.id,
        );
        if (rivals.some(({ incarnation }) => incarnation > announcement.incarnation)) {
            return warn("backendServer.late", { id: announcement.id, address: announcement.address });
        }
        const departure = departures.of(announcement.id);
        const left = isLeaving(departure, announcement) ? departure : undefined;
        const server = merge(announcement, { known, left, now: board.read("clock").now });
        if (server.drainingSince !== undefined) {
            departures.note(server.id, { since: server.drainingSince, incarnation: server.incarnation });
        }
        const replaced = rivals.filter(({ incarnation }) => incarnation < announcement.incarnation);
        const others = [...current].filter(([id]) => !replaced.some(rival => rival.id === id));
        servers.write(new Map(others).set(server.id, server));
        replaced.forEach(({ id, service }) => warn("backendServer.replaced", { id, service, by: server.id }));
        reportChange(server, known);
    }

    function takeDrain({ id }: DrainCommand): void {
        const known = board.read("backendServers").get(id);
        if (known === undefined) {
            // Its announcements may be on their way, as after a restart of this daemon.
            departures.note(id, { since: board.read("clock").now, incarnation: undefined });
            return warn("backendServer.unknown", { id });
        }
        const drainingSince = known.drainingSince ?? board.read("clock").now;
        departures.note(id, { since: drainingSince, incarnation: known.incarnation });
        drain(known, drainingSince);
    }

    function drain(known: BackendServer, drainingSince: number): void {
        const server = { ...known, state: BackendServerState.Draining, drainingSince };
        servers.update(current => new Map(current).set(known.id, server));
        reportChange(server, known);
    }

    /** Takes a departure back that this host acknowledged before it was started again. */
    function restore({ id, incarnation }: HostDeparture): void {
        const { now } = board.read("clock");
        if (isLeaving(departures.of(id), { incarnation })) {
            return;
        }
        departures.note(id, { since: now, incarnation });
        inform("backendServer.departureRestored", { id, incarnation });
        const known = board.read("backendServers").get(id);
        if (known !== undefined && known.drainingSince === undefined && known.incarnation <= incarnation) {
            drain(known, now);
        }
    }

    function takeMessage({ message }: IncomingMessage): void {
        if (message.kind === MessageKind.Watermark && message.host === self) {
            message.departures?.forEach(restore);
        }
    }

    function dropSilent(): void {
        const { now } = board.read("clock");
        const current = board.read("backendServers");
        departures.forgetOld(current);
        const alive = [...current].filter(([, server]) => hasValidLease(server, now));
        if (alive.length < current.size) {
            servers.write(new Map(alive));
            [...current.values()]
                .filter(server => !hasValidLease(server, now))
                .forEach(({ id, service }) => warn("backendServer.silent", { id, service }));
        }
    }

    const subscriptions = [
        board.follow("announcements", take),
        board.follow("peerInbox", takeMessage),
        board.observe(["clock"], dropSilent),
    ];
    return { close: () => subscriptions.forEach(subscription => subscription.close()) };
}

function createReports(board: Board) {
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
    /** Departure of the start that announces itself. */
    readonly left: Departure | undefined;
    readonly now: number;
}

/** A drain holds for the rest of the incarnation, whatever the backend server announces later. */
function merge(announcement: Announcement, { known, left, now }: MergeInput): BackendServer {
    const same = known?.incarnation === announcement.incarnation ? known : undefined;
    const draining = announcement.state === BackendServerState.Draining;
    const drainingSince = same?.drainingSince ?? left?.since ?? (draining ? now : undefined);
    return {
        ...announcement,
        announcedAt: now,
        firstSeenAt: same?.firstSeenAt ?? now,
        ...(drainingSince === undefined ? {} : { state: BackendServerState.Draining, drainingSince }),
    };
}
