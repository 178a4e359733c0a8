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

/** Departures of this host's backend servers, used by the backend server controller. */
export interface DepartureStore {
    get(id: string): Departure | undefined;
    record(id: string, departure: Departure): void;
    /**
     * Records the departure of a backend server that announces itself as draining. The announcement is acknowledged, so
     * the departure holds even if the announcement itself is not accepted.
     */
    recordDraining(announcement: Announcement, known: BackendServer | undefined): void;
    /** Keeps the departure of a backend server, if it has one, for the retention time from now on. */
    recordSilence(id: string): void;
    /** Removes expired departures, except those of backend servers that still announce themselves. */
    removeExpired(announced: ReadonlyMap<string, unknown>): void;
}

export function createDepartureStore(
    board: Board,
    warn: (name: string, fields: Event["fields"]) => void,
): DepartureStore {
    const departures = board.claimValue("departures");
    const currentDepartures = () => board.read("departures");

    function record(id: string, departure: Departure): void {
        const updated = new Map(currentDepartures());
        const [oldest] = updated.keys();
        if (oldest !== undefined && updated.size >= maxDepartures && !updated.has(id)) {
            updated.delete(oldest);
            warn("backendServer.departureForgotten", { id: oldest, limit: maxDepartures });
        }
        departures.write(updated.set(id, departure));
    }

    return {
        get: id => currentDepartures().get(id),
        record,
        recordDraining(announcement, known) {
            const { id, incarnation, state } = announcement;
            const isOutdated = known !== undefined && !isNewerAnnouncement(announcement, known);
            if (
                state === BackendServerState.Draining &&
                !isOutdated &&
                !isLeaving(currentDepartures().get(id), announcement)
            ) {
                record(id, { since: board.read("clock").now, incarnation });
            }
        },
        recordSilence(id) {
            const departure = currentDepartures().get(id);
            if (departure !== undefined) {
                record(id, { ...departure, silentSince: board.read("clock").now });
            }
        },
        removeExpired(announced) {
            const recent = recentDepartures(currentDepartures(), announced, board.read("clock").now);
            if (recent !== currentDepartures()) {
                departures.write(recent);
            }
        },
    };
}
