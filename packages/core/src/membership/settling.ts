import { settleAloneMs, settleMs, settleWithoutPeersMs } from "./constants.js";

export interface SettlingFacts {
    /** Milliseconds since the epoch. */
    readonly startedAt: number;
    /** Time since which this host has had a link within its failure domain; `undefined` if it has none. */
    readonly linkedAt: number | undefined;
    /** Whether the platform is known to list no other host of the failure domain. */
    readonly isListedAlone: boolean;
    readonly now: number;
}

/**
 * Whether a starting host knows enough of its failure domain to take roles and choose neighbours. A host that knows only
 * itself would be the relay of its domain and its region. When a whole fleet started at once, every host took these roles
 * for about a second and opened three times as many links as later, each with a copy of every record.
 *
 * @example
 * ```ts
 * isSettled({ startedAt: 0, linkedAt: 400, isListedAlone: false, now: 600 }); // false
 * isSettled({ startedAt: 0, linkedAt: 400, isListedAlone: false, now: 700 }); // true
 * isSettled({ startedAt: 0, linkedAt: undefined, isListedAlone: false, now: 2_500 }); // true: no other host was found
 * ```
 */
export function isSettled({ startedAt, linkedAt, isListedAlone, now }: SettlingFacts): boolean {
    const isLinkedLongEnough = linkedAt !== undefined && now - linkedAt >= settleMs;
    return isLinkedLongEnough || now - startedAt >= (isListedAlone ? settleAloneMs : settleWithoutPeersMs);
}
