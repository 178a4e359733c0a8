import {
    BackendServerState,
    maxAnnouncementDelayMs,
    maxBackendServers,
    type Announcement,
    type Event,
} from "@tanagertray/core";
import type { Board } from "../board.js";

/** Announcements that wait until the departures from before the start are known, used by the backend server controller. */
export interface HeldAnnouncements {
    /** Applies an announcement now, or holds it. */
    accept(announcement: Announcement): void;
    /** Applies the held announcements, if they need not wait any longer. */
    release(): void;
}

interface HeldAnnouncementsOptions {
    readonly apply: (announcement: Announcement) => void;
    readonly warn: (name: string, fields: Event["fields"]) => void;
}

/**
 * Holds announcements after the start of the daemon. One that was sent before a departure may arrive after the restart,
 * when the daemon knows of the departure only from the platform. After `maxAnnouncementDelayMs` no such announcement is
 * left, so that a platform that does not answer delays the backend servers no longer than that.
 */
export function createHeldAnnouncements(
    board: Board,
    { apply, warn }: HeldAnnouncementsOptions,
): HeldAnnouncements {
    const startedAt = board.read("clock").now;
    /** Latest announcement of each backend server. */
    const held = new Map<string, Announcement>();

    /** Time from the start until this host has read what arrived. What arrived during a pause is read after the tick. */
    function ageMs(): number {
        const { now, pausedForMs } = board.read("clock");
        return now - pausedForMs - startedAt;
    }
    const isRead = () => board.read("departureHistory").isRead;
    const mayApply = () => isRead() || ageMs() >= maxAnnouncementDelayMs;

    return {
        accept(announcement) {
            const { id, state } = announcement;
            if (state === BackendServerState.Draining || mayApply()) {
                apply(announcement);
            } else if (!held.has(id) && held.size >= maxBackendServers) {
                warn("backendServer.tooMany", { id, limit: maxBackendServers });
            } else if (isLatest(announcement, held.get(id))) {
                held.set(id, announcement);
            }
        },
        release() {
            if (held.size === 0 || !mayApply()) {
                return;
            }
            if (!isRead()) {
                warn("backendServer.departuresUnread", { waitedMs: ageMs(), held: held.size });
            }
            const announcements = [...held.values()];
            held.clear();
            announcements.forEach(apply);
        },
    };
}

function isLatest({ incarnation, counter }: Announcement, other: Announcement | undefined): boolean {
    return (
        other === undefined ||
        incarnation > other.incarnation ||
        (incarnation === other.incarnation && counter > other.counter)
    );
}
