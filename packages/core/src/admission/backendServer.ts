/** Backend servers on this host, as they announce themselves. */

export const BackendServerState = {
    Serving: "serving",
    /** Leaving: finishes the calls in flight and gets no new ones. */
    Draining: "draining",
} as const;
export type BackendServerState = (typeof BackendServerState)[keyof typeof BackendServerState];

/** One announcement; a later one replaces it. */
export interface Announcement {
    readonly id: string;
    readonly service: string;
    /** `address:port` */
    readonly address: string;
    /** Milliseconds since the epoch at the start of the backend server. */
    readonly incarnation: number;
    /** Rises with each announcement of an incarnation, so that a late one loses. */
    readonly counter: number;
    readonly state: BackendServerState;
    /** Slots and connections; the configuration's figures hold where they are lower. */
    readonly slots?: number;
    readonly connections?: number;
    /** Share of its slots that the backend server says are in use, from 0 to 1. May lag or mislead. */
    readonly load?: number;
    /**
     * Silence after which the backend server gets no more work, in milliseconds.
     * @default announcementLeaseMs
     */
    readonly leaseMs?: number;
}

export interface BackendServer extends Announcement {
    /** Milliseconds since the epoch, by the daemon's clock. */
    readonly announcedAt: number;
    readonly firstSeenAt: number;
    /** When it started to leave, by the daemon's clock. */
    readonly drainingSince?: number;
}

/** An operator's command that a backend server of this host shall leave. */
export interface DrainCommand {
    readonly kind: "drain";
    readonly id: string;
}
