import type { Announcement } from "@tanagertray/core";
import { request } from "undici";
import { reportedLoadOf, stateOf, type BackendBoard } from "./board.js";
import type { Counters } from "./counters.js";

/** Period of the announcements; a daemon forgets a backend server after 3 s of silence. */
const announcementPeriodMs = 1_000;
/** Time for one announcement, so that a silent daemon holds no more than one of them. */
const announcementDeadlineMs = 900;

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

/** Announces the backend server every second, and at once when it starts or stops to drain. */
export function createAnnouncer(
    board: BackendBoard,
    counters: Counters,
    options: AnnouncerOptions,
): Announcer {
    let counter = 0;
    let announcedState = stateOf(board);
    let latest: Promise<void> = Promise.resolve();

    function describe(): Announcement {
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
                body: JSON.stringify(describe()),
                signal: AbortSignal.timeout(announcementDeadlineMs),
            });
            await response.body.dump();
            counters.add(response.statusCode < 300 ? "announcements" : "failedAnnouncements");
        } catch {
            // The daemon may be stopped or restarted; the next period announces again.
            counters.add("failedAnnouncements");
        }
    }

    const start = () => {
        latest = announce();
    };
    const timer = setInterval(start, announcementPeriodMs);
    const subscription = board.observe(["faults"], () => {
        if (stateOf(board) !== announcedState) {
            start();
        }
    });
    start();
    return {
        async close() {
            clearInterval(timer);
            subscription.close();
            await latest;
        },
    };
}
