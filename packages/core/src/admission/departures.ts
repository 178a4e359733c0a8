import type { HostDeparture } from "../membership/record.js";
import type { Announcement } from "./backendServer.js";

/** Shutdown of a backend server, announced by itself or requested by an operator. */
export interface Departure {
    /** Start of the shutdown, in milliseconds since the epoch by the daemon's clock. */
    readonly since: number;
    /** `undefined` if the backend server had not announced itself before. */
    readonly incarnation: number | undefined;
}

/**
 * Time for which a departure is kept after the backend server stopped announcing itself, in milliseconds. It is a
 * multiple of the several seconds by which announcements may be delayed, so that a delayed one does not bring the
 * backend server back.
 */
export const departureRetentionMs = 30_000;

/** Maximum number of departures that a host keeps, enough for a release that replaces every backend server a few times. */
export const maxDepartures = 256;

/** Maximum number of departures in a host's record, which holds the latest. At about 50 bytes each they double its typical size. */
export const maxPublishedDepartures = 8;

/**
 * Whether an announcement belongs to an incarnation of the backend server that is shutting down, not to a later one.
 *
 * @example
 * ```ts
 * const departure = { since: Date.now(), incarnation: undefined };
 * isLeaving(departure, { ...announcement, incarnation: Date.now() - 60_000 }); // true
 * ```
 */
export function isLeaving(
    departure: Departure | undefined,
    { incarnation }: Pick<Announcement, "incarnation">,
): boolean {
    return departure !== undefined && incarnation <= (departure.incarnation ?? departure.since);
}

/** Returns the departures of backend servers that still announce themselves or that began within the retention time. */
export function recentDepartures(
    departures: ReadonlyMap<string, Departure>,
    announcing: ReadonlyMap<string, unknown>,
    now: number,
): ReadonlyMap<string, Departure> {
    const recent = [...departures].filter(
        ([id, { since }]) => announcing.has(id) || now - since <= departureRetentionMs,
    );
    return recent.length === departures.size ? departures : new Map(recent);
}

/** Returns the latest departures in the form that the host's record carries. */
export function publishedDepartures(departures: ReadonlyMap<string, Departure>): readonly HostDeparture[] {
    return [...departures]
        .slice(-maxPublishedDepartures)
        .map(([id, { since, incarnation }]) => ({ id, incarnation: incarnation ?? since }));
}

/** Departures that another host has published. */
export interface PeerDepartures {
    readonly departures: readonly HostDeparture[];
    /** Time of the last publication, in milliseconds since the epoch by the clock of the host that received it. */
    readonly heardAt: number;
}

/** Returns the departures that other hosts published within the retention time. */
export function recentPeerDepartures(
    peerDepartures: ReadonlyMap<string, PeerDepartures>,
    now: number,
): ReadonlyMap<string, PeerDepartures> {
    const recent = [...peerDepartures].filter(([, { heardAt }]) => now - heardAt <= departureRetentionMs);
    return recent.length === peerDepartures.size ? peerDepartures : new Map(recent);
}
