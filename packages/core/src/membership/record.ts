/** Host records, which the hosts of a deployment exchange. */

export const HostState = {
    Alive: "alive",
    /** A neighbour has lost contact. The host fails unless it refutes with a higher counter. */
    Suspect: "suspect",
    Failed: "failed",
    /** The daemon was shut down deliberately. */
    Left: "left",
} as const;
export type HostState = (typeof HostState)[keyof typeof HostState];

export interface Location {
    readonly host: string;
    readonly failureDomain: string;
    readonly region: string;
}

/** Capacity of one service on a host. */
export interface ServiceOffer {
    readonly service: string;
    /** Total slots of the backend servers that accept calls. */
    readonly slots: number;
    /** Start time of the newest of these backend servers, in milliseconds since the epoch. Used for slow start. */
    readonly startedAt: number;
}

/** A backend server that is leaving, at its own request or on command. */
export interface HostDeparture {
    readonly id: string;
    /** Latest incarnation of the backend server that is leaving. */
    readonly incarnation: number;
}

/**
 * The record of one host. Only the host itself raises the incarnation and the counter; a neighbour may only repeat them
 * with a worse state. Delayed and reordered records therefore never override newer ones.
 */
export interface HostRecord extends Location {
    /** Start time of the daemon in milliseconds since the epoch, or one more than an incarnation reported by peers. */
    readonly incarnation: number;
    readonly counter: number;
    readonly state: HostState;
    /** `address:port` for peer links and for calls from other daemons. */
    readonly peerAddress: string;
    /** Services with backend servers on this host that accept calls. */
    readonly offers: readonly ServiceOffer[];
    /** Configuration version of the host when it wrote the record. */
    readonly version: number;
    /** Backend servers that are leaving or recently left. Peers send them back to the host when it restarts. */
    readonly departures?: readonly HostDeparture[];
    /** Version that the host rejected as a whole, and the reason. */
    readonly rejected?: { readonly version: number; readonly reason: string };
}
