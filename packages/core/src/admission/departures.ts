import type { HostDeparture } from "../membership/record.js";
import type { Announcement } from "./backendServer.js";

/** Shutdown of a backend server, announced by itself or requested by an operator. */
export interface Departure {
    /** Start of the shutdown, in milliseconds since the epoch by the daemon's clock. */
    readonly since: number;
    /** `undefined` if the backend server had not announced itself before. */
    readonly incarnation: number | undefined;
    /** Time at which the backend server had stopped announcing itself; `undefined` if it has not done so since the start. */
    readonly silentSince?: number;
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

/**
 * Returns the departures of backend servers that still announce themselves, or that fell silent, or began if they were
 * silent already, within the retention time.
 */
export function recentDepartures(
    departures: ReadonlyMap<string, Departure>,
    announcing: ReadonlyMap<string, unknown>,
    now: number,
): ReadonlyMap<string, Departure> {
    const recent = [...departures].filter(
        ([id, { since, silentSince = since }]) =>
            announcing.has(id) || now - silentSince <= departureRetentionMs,
    );
    return recent.length === departures.size ? departures : new Map(recent);
}

/** Returns the latest departures in the form that the host's record carries. */
export function publishedDepartures(departures: ReadonlyMap<string, Departure>): readonly HostDeparture[] {
    return [...departures]
        .slice(-maxPublishedDepartures)
        .map(([id, { since, incarnation }]) => ({ id, incarnation: incarnation ?? since }));
}

/** A departure that another host has published. */
export interface PeerDeparture extends HostDeparture {
    /** Time at which it was last read in a record, in milliseconds since the epoch by the clock of the reader. */
    readonly heardAt: number;
}

/**
 * Adds the departures of a host's record to those that it published earlier. Records may be read in any order, and the
 * first ones of a restarted host lack what it has not asked for yet, so that no record withdraws a departure.
 *
 * @returns at most `maxDepartures`, those read last
 * @example
 * ```ts
 * const known = mergePeerDepartures([], [{ id: "s1", incarnation: 5 }], 1_000);
 * mergePeerDepartures(known, [{ id: "s2", incarnation: 7 }], 2_000).map(({ id }) => id); // ["s1", "s2"]
 * ```
 */
export function mergePeerDepartures(
    known: readonly PeerDeparture[],
    published: readonly HostDeparture[],
    now: number,
): readonly PeerDeparture[] {
    const merged = new Map(known.map(departure => [departure.id, departure]));
    for (const { id, incarnation } of published) {
        const latest = Math.max(incarnation, merged.get(id)?.incarnation ?? incarnation);
        merged.delete(id);
        merged.set(id, { id, incarnation: latest, heardAt: now });
    }
    return [...merged.values()].slice(-maxDepartures);
}

/** Returns the departures that other hosts published within the retention time, by host. */
export function recentPeerDepartures(
    peerDepartures: ReadonlyMap<string, readonly PeerDeparture[]>,
    now: number,
): ReadonlyMap<string, readonly PeerDeparture[]> {
    const isRecent = ({ heardAt }: PeerDeparture) => now - heardAt <= departureRetentionMs;
    if ([...peerDepartures.values()].every(departures => departures.every(isRecent))) {
        return peerDepartures;
    }
    const recent = [...peerDepartures].map(
        ([host, departures]) => [host, departures.filter(isRecent)] as const,
    );
    return new Map(recent.filter(([, departures]) => departures.length > 0));
}
