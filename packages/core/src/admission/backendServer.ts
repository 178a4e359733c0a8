/** Backend servers on this host and the announcements by which they register. */

export const BackendServerState = {
    Serving: "serving",
    /** Shutting down: finishes the calls in flight and gets no new ones. */
    Draining: "draining",
} as const;
export type BackendServerState = (typeof BackendServerState)[keyof typeof BackendServerState];

/** Registration of a backend server, replaced by each later announcement. */
export interface Announcement {
    readonly id: string;
    readonly service: string;
    /** `address:port` */
    readonly address: string;
    /** Start time of the backend server, in milliseconds since the epoch. */
    readonly incarnation: number;
    /** Increases with each announcement of an incarnation, so that a delayed announcement is ignored. */
    readonly counter: number;
    readonly state: BackendServerState;
    /** Number of calls that it processes concurrently. The configured limit applies where it is lower. */
    readonly slots?: number;
    /** Number of connections that it accepts. The configured limit applies where it is lower. */
    readonly connections?: number;
    /** Share of slots in use as reported by the backend server, from 0 to 1. May be outdated or wrong. */
    readonly load?: number;
    /**
     * Time without an announcement after which the backend server gets no more calls, in milliseconds.
     * @default announcementLeaseMs
     */
    readonly leaseMs?: number;
}

export interface BackendServer extends Announcement {
    /** Milliseconds since the epoch, by the daemon's clock. */
    readonly announcedAt: number;
    readonly firstSeenAt: number;
    /** Time at which draining started, by the daemon's clock. */
    readonly drainingSince?: number;
}

/** Operator command that drains a backend server of this host. */
export interface DrainCommand {
    readonly kind: "drain";
    readonly id: string;
}
