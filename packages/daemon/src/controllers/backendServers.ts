import {
    BackendServerState,
    EventLevel,
    hasLease,
    isLeaving,
    isNewerAnnouncement,
    maxBackendServers,
    maxDepartures,
    MessageKind,
    readAnnouncement,
    recentDepartures,
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

/** Keeps the backend servers of this host from their announcements and drain commands. */
export function createBackendServers(board: Board): Closeable {
    const servers = board.claimValue("backendServers");
    const events = board.claimFeed("backendServerEvents");
    const departures = board.claimValue("departures");
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
        noteLeaving(announcement, known);
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
        const departure = board.read("departures").get(announcement.id);
        const left = isLeaving(departure, announcement) ? departure : undefined;
        const server = merge(announcement, { known, left, now: board.read("clock").now });
        if (server.drainingSince !== undefined) {
            noteDeparture(server.id, { since: server.drainingSince, incarnation: server.incarnation });
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
            noteDeparture(id, { since: board.read("clock").now, incarnation: undefined });
            return warn("backendServer.unknown", { id });
        }
        const drainingSince = known.drainingSince ?? board.read("clock").now;
        noteDeparture(id, { since: drainingSince, incarnation: known.incarnation });
        const server = { ...known, state: BackendServerState.Draining, drainingSince };
        servers.update(current => new Map(current).set(id, server));
        reportChange(server, known);
    }

    /** A leaving is acknowledged, so it holds also when its announcement names no server to use. */
    function noteLeaving(announcement: Announcement, known: BackendServer | undefined): void {
        const { id, incarnation, state } = announcement;
        const isOld = known !== undefined && !isNewerAnnouncement(announcement, known);
        if (
            state === BackendServerState.Draining &&
            !isOld &&
            !isLeaving(board.read("departures").get(id), announcement)
        ) {
            noteDeparture(id, { since: board.read("clock").now, incarnation });
        }
    }

    function noteDeparture(id: string, departure: Departure): void {
        const known = board.read("departures");
        const [oldest] = known.keys();
        const kept = new Map(known);
        if (oldest !== undefined && known.size >= maxDepartures && !known.has(id)) {
            kept.delete(oldest);
            warn("backendServer.departureForgotten", { id: oldest, limit: maxDepartures });
        }
        departures.write(kept.set(id, departure));
    }

    /** Takes a departure back that this host acknowledged before it was started again. */
    function restore({ id, incarnation }: HostDeparture): void {
        const { now } = board.read("clock");
        const noted = board.read("departures").get(id);
        if (noted !== undefined && incarnation <= (noted.incarnation ?? noted.since)) {
            return;
        }
        noteDeparture(id, { since: now, incarnation });
        events.append({
            name: "backendServer.departureRestored",
            level: EventLevel.Info,
            fields: { id, incarnation },
        });
        const known = board.read("backendServers").get(id);
        if (known !== undefined && known.drainingSince === undefined && known.incarnation <= incarnation) {
            const server = { ...known, state: BackendServerState.Draining, drainingSince: now };
            servers.update(current => new Map(current).set(id, server));
            reportChange(server, known);
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
        const noted = board.read("departures");
        const recent = recentDepartures(noted, current, now);
        if (recent !== noted) {
            departures.write(recent);
        }
        const alive = [...current].filter(([, server]) => hasLease(server, now));
        if (alive.length < current.size) {
            servers.write(new Map(alive));
            [...current.values()]
                .filter(server => !hasLease(server, now))
                .forEach(({ id, service }) => warn("backendServer.silent", { id, service }));
        }
    }

    function reportChange(server: BackendServer, known: BackendServer | undefined): void {
        if (known?.state !== server.state || known.incarnation !== server.incarnation) {
            const { id, service, state, incarnation } = server;
            const fields = { id, service, state, incarnation };
            events.append({ name: "backendServer.changed", level: EventLevel.Info, fields });
        }
    }

    function warn(name: string, fields: Event["fields"]): void {
        events.append({ name, level: EventLevel.Warn, fields });
    }

    const subscriptions = [
        board.follow("announcements", take),
        board.follow("peerInbox", takeMessage),
        board.observe(["clock"], dropSilent),
    ];
    return { close: () => subscriptions.forEach(subscription => subscription.close()) };
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
