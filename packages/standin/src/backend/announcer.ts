import type { Announcement } from "@tanagertray/core";
import { request } from "undici";
import { reportedLoadOf, stateOf, type BackendBoard } from "./board.js";
import type { Counters } from "./counters.js";

/** Well below the 3 s without an announcement after which a daemon removes a backend server. */
const announcementPeriodMs = 1_000;
/** Shorter than the period, so that an unresponsive daemon keeps at most one announcement pending. */
const announcementTimeoutMs = 900;

export interface AnnouncerOptions {
    /** Base URL of the admin listener of the daemon on the same host. */
    daemon: string;
    token: string;
    /** `address:port` of the backend server. */
    address: string;
}

export interface Announcer {
    close(): Promise<void>;
}

/** Announces the backend server every second, and immediately when it starts or stops draining. */
export function createAnnouncer(
    board: BackendBoard,
    counters: Counters,
    options: AnnouncerOptions,
): Announcer {
    let counter = 0;
    let announcedState = stateOf(board);
    let latestAnnouncement: Promise<void> = Promise.resolve();

    function createAnnouncement(): Announcement {
        const { id, service, startedAt, slots, connections } = board.read("identity");
        const state = stateOf(board);
        counter += 1;
        const load = reportedLoadOf(board);
        const { address } = options;
        return { id, service, address, incarnation: startedAt, counter, state, slots, connections, load };
    }

    async function announce(): Promise<void> {
        if (!board.read("faults").announce) {
            return;
        }
        announcedState = stateOf(board);
        try {
            const response = await request(`${options.daemon}/v1/backend-servers`, {
                method: "POST",
                headers: { authorization: `Bearer ${options.token}`, "content-type": "application/json" },
                body: JSON.stringify(createAnnouncement()),
                signal: AbortSignal.timeout(announcementTimeoutMs),
            });
            await response.body.dump();
            counters.add(response.statusCode < 300 ? "announcements" : "failedAnnouncements");
        } catch {
            // The daemon may be stopped or restarting; the next announcement follows after one period.
            counters.add("failedAnnouncements");
        }
    }

    const startAnnouncement = () => {
        latestAnnouncement = announce();
    };
    const timer = setInterval(startAnnouncement, announcementPeriodMs);
    const subscription = board.observe(["faults"], () => {
        if (stateOf(board) !== announcedState) {
            startAnnouncement();
        }
    });
    startAnnouncement();
    return {
        async close() {
            clearInterval(timer);
            subscription.close();
            await latestAnnouncement;
        },
    };
}
