import {
    BackendServerState,
    EventLevel,
    hasLease,
    isNewerAnnouncement,
    maxBackendServers,
    readAnnouncement,
    type Announcement,
    type BackendServer,
    type DrainCommand,
    type Event,
} from "@tanagertray/core";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";

/** Time for which an acknowledged leaving outlives the record of the backend server, in milliseconds; announcements arrive seconds late. */
const departureMs = 60_000;

/** An acknowledged leaving of a backend server that is not known, or not any more. */
interface Departure {
    /** Newest start of the backend server that it concerns, in milliseconds since the epoch. */
    readonly incarnation: number;
    /** By the daemon's clock, in milliseconds. */
    readonly at: number;
}

/** Keeps the backend servers of this host from their announcements and drain commands. */
export function createBackendServers(board: Board): Closeable {
    const servers = board.claimValue("backendServers");
    const events = board.claimFeed("backendServerEvents");
    const departures = new Map<string, Departure>();

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
        const server = merge(announcement, known ?? departed(announcement), board.read("clock").now);
        const replaced = rivals.filter(({ incarnation }) => incarnation < announcement.incarnation);
        const others = [...current].filter(([id]) => !replaced.some(rival => rival.id === id));
        servers.write(new Map(others).set(server.id, server));
        replaced.forEach(({ id, service }) => warn("backendServer.replaced", { id, service, by: server.id }));
        reportChange(server, known);
    }

    function takeDrain({ id }: DrainCommand): void {
        const known = board.read("backendServers").get(id);
        const { now } = board.read("clock");
        if (known === undefined) {
            // A daemon that just started knows nobody, yet the leaving is acknowledged and a late announcement may follow.
            noteDeparture(id, { incarnation: now, at: now });
            return warn("backendServer.unknown", { id });
        }
        const drainingSince = known.drainingSince ?? now;
        const server = { ...known, state: BackendServerState.Draining, drainingSince };
        servers.update(current => new Map(current).set(id, server));
        reportChange(server, known);
    }

    function noteDeparture(id: string, departure: Departure): void {
        if (departures.size >= maxBackendServers && !departures.has(id)) {
            warn("backendServer.tooManyDepartures", { id, limit: maxBackendServers });
            return;
        }
        departures.set(id, departure);
    }

    /** What an announcement of a backend server that left is merged with; `undefined` for one that started since. */
    function departed(announcement: Announcement): BackendServer | undefined {
        const departure = departures.get(announcement.id);
        return departure === undefined || announcement.incarnation > departure.incarnation
            ? undefined
            : {
                  ...announcement,
                  state: BackendServerState.Draining,
                  announcedAt: departure.at,
                  firstSeenAt: departure.at,
                  drainingSince: departure.at,
              };
    }

    function dropSilent(): void {
        const { now } = board.read("clock");
        [...departures]
            .filter(([, { at }]) => now - at > departureMs)
            .forEach(([id]) => departures.delete(id));
        const current = board.read("backendServers");
        const alive = [...current].filter(([, server]) => hasLease(server, now));
        if (alive.length < current.size) {
            servers.write(new Map(alive));
            [...current.values()]
                .filter(server => !hasLease(server, now))
                .forEach(({ id, service, incarnation, drainingSince }) => {
                    warn("backendServer.silent", { id, service });
                    if (drainingSince !== undefined) {
                        noteDeparture(id, { incarnation, at: now });
                    }
                });
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

    const subscriptions = [board.follow("announcements", take), board.observe(["clock"], dropSilent)];
    return { close: () => subscriptions.forEach(subscription => subscription.close()) };
}

/** A drain holds for the rest of the incarnation, whatever the backend server announces later. */
function merge(announcement: Announcement, known: BackendServer | undefined, now: number): BackendServer {
    const same = known?.incarnation === announcement.incarnation ? known : undefined;
    const draining = announcement.state === BackendServerState.Draining;
    const drainingSince = same?.drainingSince ?? (draining ? now : undefined);
    return {
        ...announcement,
        announcedAt: now,
        firstSeenAt: same?.firstSeenAt ?? now,
        ...(drainingSince === undefined ? {} : { state: BackendServerState.Draining, drainingSince }),
    };
}
