import type { HostDeparture } from "../membership/record.js";
import type { Announcement } from "./backendServer.js";

/** A backend server that said, or was told, to leave. */
export interface Departure {
    /** When it began to leave, in milliseconds since the epoch by the daemon's clock. */
    readonly since: number;
    /** `undefined` when its announcements were not known then. */
    readonly incarnation: number | undefined;
}

/**
 * Time for which a departure is remembered beyond the last word of the backend server, in milliseconds. Announcements
 * may be delayed by several seconds; with this many times that, a delayed one does not bring the backend server back.
 */
export const departureMs = 30_000;

/** Departures that one host remembers: those of a release that replaces every backend server a few times. */
export const maxDepartures = 256;

/** Departures in the record of one host, the latest ones; at about 50 bytes each they double an ordinary record. */
export const maxPublishedDepartures = 8;

/**
 * Whether an announcement comes from the start of a backend server that is leaving, and not from a later one.
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

/** The departures that still count. */
export function recentDepartures(
    departures: ReadonlyMap<string, Departure>,
    heard: ReadonlyMap<string, unknown>,
    now: number,
): ReadonlyMap<string, Departure> {
    const recent = [...departures].filter(([id, { since }]) => heard.has(id) || now - since <= departureMs);
    return recent.length === departures.size ? departures : new Map(recent);
}

/** The latest departures, as other hosts remember them. */
export function publishedDepartures(departures: ReadonlyMap<string, Departure>): readonly HostDeparture[] {
    return [...departures]
        .slice(-maxPublishedDepartures)
        .map(([id, { since, incarnation }]) => ({ id, incarnation: incarnation ?? since }));
}

/** Departures of one host, as another host remembers them. */
export interface RememberedDepartures {
    readonly departures: readonly HostDeparture[];
    /** When the host published them last, in milliseconds since the epoch by the clock of the other host. */
    readonly heardAt: number;
}

/** The departures that the hosts published within `departureMs`. */
export function recentlyRemembered(
    remembered: ReadonlyMap<string, RememberedDepartures>,
    now: number,
): ReadonlyMap<string, RememberedDepartures> {
    const recent = [...remembered].filter(([, { heardAt }]) => now - heardAt <= departureMs);
    return recent.length === remembered.size ? remembered : new Map(recent);
}
