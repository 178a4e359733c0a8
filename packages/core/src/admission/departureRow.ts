import { recentDepartures, type Departure } from "./departures.js";

/** A departure in the row of a failure domain. */
export interface StoredDeparture {
    /** Host beside which the backend server ran. */
    readonly host: string;
    readonly id: string;
    readonly incarnation: number;
    /** Time of the write, in milliseconds since the epoch by the clock of the writer. */
    readonly at: number;
}

/** Row of the platform's table service that holds the departures of one failure domain. */
export interface DepartureRow {
    readonly departures: readonly StoredDeparture[];
}

/**
 * Time for which a departure stays in the row, in milliseconds. Longer than a host is down between two of its processes,
 * and than the clocks of two hosts differ.
 */
export const storedDepartureRetentionMs = 600_000;
/** Maximum number of departures in a row. At about 150 bytes each, they stay below a limit of 64 KiB for a row. */
export const maxStoredDepartures = 256;

/** Reads the row; entries that are not valid are left out. */
export function readDepartureRow(row: unknown): readonly StoredDeparture[] {
    const list: unknown =
        typeof row === "object" && row !== null ? Reflect.get(row, "departures") : undefined;
    return Array.isArray(list) ? list.filter(isStoredDeparture).slice(-maxStoredDepartures) : [];
}

function isStoredDeparture(value: unknown): value is StoredDeparture {
    if (typeof value !== "object" || value === null) {
        return false;
    }
    const { host, id, incarnation, at } = value as Partial<Record<keyof StoredDeparture, unknown>>;
    return (
        typeof host === "string" &&
        typeof id === "string" &&
        Number.isSafeInteger(incarnation) &&
        Number.isSafeInteger(at)
    );
}

/** Key of the departure of one incarnation of a backend server. */
export function departureKey(id: string, { incarnation, since }: Departure): string {
    return `${id} ${incarnation ?? since}`;
}

export interface DepartureRowChange {
    readonly host: string;
    /** Departures of this host's backend servers, by id. */
    readonly departures: ReadonlyMap<string, Departure>;
    /** Milliseconds since the epoch. */
    readonly now: number;
}

/**
 * Returns the departures of a host that the row does not hold yet.
 *
 * @example
 * ```ts
 * const unstored = unstoredDepartures(readDepartureRow(row), { host: "h1", departures, now });
 * ```
 */
export function unstoredDepartures(
    stored: readonly StoredDeparture[],
    { host, departures, now }: DepartureRowChange,
): readonly StoredDeparture[] {
    const storedKeys = storedDepartureKeys(stored, host);
    return [...recentDepartures(departures, new Map(), now)]
        .filter(([id, departure]) => !storedKeys.has(departureKey(id, departure)))
        .map(([id, { incarnation, since }]) => ({ host, id, incarnation: incarnation ?? since, at: now }));
}

/** Keys of the departures that the row holds of a host. */
export function storedDepartureKeys(stored: readonly StoredDeparture[], host: string): ReadonlySet<string> {
    return new Set(
        stored
            .filter(departure => departure.host === host)
            .map(({ id, incarnation }) => departureKey(id, { since: 0, incarnation })),
    );
}

/** Returns the row with additional departures, without the ones that have expired or exceed the limit. */
export function appendDepartures(
    stored: readonly StoredDeparture[],
    added: readonly StoredDeparture[],
    now: number,
): DepartureRow {
    const kept = stored.filter(
        ({ at, host, id }) =>
            now - at <= storedDepartureRetentionMs &&
            !added.some(departure => departure.host === host && departure.id === id),
    );
    return { departures: [...kept, ...added].slice(-maxStoredDepartures) };
}
