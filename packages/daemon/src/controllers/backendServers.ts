import type { Announcement, BackendServer } from "@tanagertray/core";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";

/** Silence after which a backend server gets no more work, in milliseconds. */
const announcementLeaseMs = 3_000;

/** Keeps the backend servers of this host from their announcements. */
export function createBackendServers(board: Board): Closeable {
    const servers = board.claimValue("backendServers");

    function takeAnnouncement(announcement: Announcement): void {
        const known = board.read("backendServers").get(announcement.id);
        if (known !== undefined && !isNewer(announcement, known)) {
            return;
        }
        const { now } = board.read("clock");
        const firstSeenAt = known?.incarnation === announcement.incarnation ? known.firstSeenAt : now;
        const server: BackendServer = { ...announcement, announcedAt: now, firstSeenAt };
        servers.update(current => new Map(current).set(server.id, server));
    }

    function dropSilent(): void {
        const { now } = board.read("clock");
        const current = board.read("backendServers");
        const alive = [...current].filter(([, server]) => now - server.announcedAt <= announcementLeaseMs);
        if (alive.length < current.size) {
            servers.write(new Map(alive));
        }
    }

    const subscriptions = [
        board.follow("announcements", takeAnnouncement),
        board.observe(["clock"], dropSilent),
    ];
    return { close: () => subscriptions.forEach(subscription => subscription.close()) };
}

function isNewer(announcement: Announcement, known: BackendServer): boolean {
    return (
        announcement.incarnation > known.incarnation ||
        (announcement.incarnation === known.incarnation && announcement.counter > known.counter)
    );
}
