/** What the hosts know of each other. */

export const HostState = {
    Alive: "alive",
    /** Silent towards a neighbour; fails unless the host answers with a higher counter. */
    Suspect: "suspect",
    Failed: "failed",
    /** The daemon shut down on purpose. */
    Left: "left",
} as const;
export type HostState = (typeof HostState)[keyof typeof HostState];

export interface Location {
    readonly host: string;
    readonly failureDomain: string;
    readonly region: string;
}

/** Backend servers of one service on a host, as other hosts need to know them. */
export interface ServiceOffer {
    readonly service: string;
    /** Sum of the slots of the backend servers that take work. */
    readonly slots: number;
    /** Milliseconds since the epoch at which the newest of them started, for slow start. */
    readonly startedAt: number;
}

/** A backend server that was told, or said, to leave. */
export interface HostDeparture {
    readonly id: string;
    /** The latest of its starts that is leaving. */
    readonly incarnation: number;
}

/**
 * The record of one host. The host alone raises the incarnation and the counter; a neighbour may only
 * repeat them with a worse state. So late or crossed news loses against newer news.
 */
export interface HostRecord extends Location {
    /** Milliseconds since the epoch at the start of the daemon, or one more than peers reported. */
    readonly incarnation: number;
    readonly counter: number;
    readonly state: HostState;
    /** `address:port` for control links and for calls from other daemons. */
    readonly peerAddress: string;
    /** Services that take work on this host. */
    readonly offers: readonly ServiceOffer[];
    /** Configuration version held when the record was written. */
    readonly version: number;
    /** Backend servers that are leaving the host, or left it lately. Peers return them when the host restarts. */
    readonly departures?: readonly HostDeparture[];
    /** Version that the host refused whole, with the reason. */
    readonly rejected?: { readonly version: number; readonly reason: string };
}
