import {
    BackendServerState,
    isLeaving,
    isNewerAnnouncement,
    maxDepartures,
    recentDepartures,
    type Announcement,
    type BackendServer,
    type Departure,
    type Event,
} from "@tanagertray/core";
import type { Board } from "../board.js";

/** Departures of this host's backend servers, kept for the backend server controller. */
export interface DepartureLog {
    of(id: string): Departure | undefined;
    note(id: string, departure: Departure): void;
    /** A leaving is acknowledged, so it holds also when its announcement names no server to use. */
    noteLeaving(announcement: Announcement, known: BackendServer | undefined): void;
    /** Forgets departures that no longer count; those of servers still heard of stay. */
    forgetOld(heard: ReadonlyMap<string, unknown>): void;
}

export function createDepartureLog(
    board: Board,
    warn: (name: string, fields: Event["fields"]) => void,
): DepartureLog {
    const section = board.claimValue("departures");
    const known = () => board.read("departures");

    function note(id: string, departure: Departure): void {
        const kept = new Map(known());
        const [oldest] = kept.keys();
        if (oldest !== undefined && kept.size >= maxDepartures && !kept.has(id)) {
            kept.delete(oldest);
            warn("backendServer.departureForgotten", { id: oldest, limit: maxDepartures });
        }
        section.write(kept.set(id, departure));
    }

    return {
        of: id => known().get(id),
        note,
        noteLeaving(announcement, server) {
            const { id, incarnation, state } = announcement;
            const isOld = server !== undefined && !isNewerAnnouncement(announcement, server);
            if (
                state === BackendServerState.Draining &&
                !isOld &&
                !isLeaving(known().get(id), announcement)
            ) {
                note(id, { since: board.read("clock").now, incarnation });
            }
        },
        forgetOld(heard) {
            const recent = recentDepartures(known(), heard, board.read("clock").now);
            if (recent !== known()) {
                section.write(recent);
            }
        },
    };
}
