/** Decides which host of a failure domain reads the head row, and when those read that the platform does not serve. */
import { hash32 } from "./hash.js";

/** Share of the freshness limit after which the first backup takes over. */
const takeoverShare = 0.7;
/** Share of the freshness limit by which each further backup waits longer. */
const stepShare = 0.1;
/** Share of the freshness limit after which the first turn of an unserved failure domain comes at the latest. */
const firstTurnShare = 0.9;
/** Share of the freshness limit between two turns of a failure domain. */
const turnShare = 0.5;
/** Shortest time between two turns of one host, as a share of the freshness limit. */
const minTurnPeriodShare = 0.75;

export interface HeadDutyFacts {
    /** Milliseconds since the epoch. */
    readonly now: number;
    /** Hosts of the failure domain that read the head row, in the order in which they take over; the first one is the reader. */
    readonly readers: readonly string[];
    readonly self: string;
    /** Whether this host is linked to the reader and so gets its reports. */
    readonly isLinkedToReader: boolean;
    /** Time of the last answered read of each linked host of the failure domain that reported one. */
    readonly reportedAt: ReadonlyMap<string, number>;
    /**
     * Time since which this host expects reports: when it took its place in the order, or when the link to the host
     * closed that reported last.
     */
    readonly expectsSince: number;
    /** Whether the link to the host that reported last has closed, so that the next host need not wait for its next report. */
    readonly hasLostReader: boolean;
    /** Longest time in which an accepted version should be in force, in milliseconds. */
    readonly freshnessMs: number;
    /** Uniform in [0, 1); spreads the hosts that have no place in the order. */
    readonly spread: number;
}

/**
 * Whether a host should read the head row. The reader always does. Another host does once no host before it has reported
 * an answered read for some time; this time is longer the further back the host is in the order. A host without a place in
 * the order takes over only if it is linked to the reader, because it expects no reports otherwise.
 *
 * @example
 * ```ts
 * // The second host of the order after 1.5 s without a report, with a freshness limit of 2 s.
 * isHeadReadDue({ ...facts, self: "b", readers: ["a", "b", "c"], expectsSince: now - 1_500, freshnessMs: 2_000 }); // true
 * ```
 */
export function isHeadReadDue(facts: HeadDutyFacts): boolean {
    const { now, readers, self, isLinkedToReader, reportedAt, expectsSince, hasLostReader } = facts;
    const { freshnessMs, spread } = facts;
    const place = readers.indexOf(self);
    if (place === 0) {
        return true;
    }
    if (place < 0 && !isLinkedToReader) {
        return false;
    }
    const isBefore = (host: string) => place < 0 || readers.slice(0, place).includes(host);
    const lastReportAt = Math.max(
        expectsSince,
        ...[...reportedAt].filter(([host]) => isBefore(host)).map(([, at]) => at),
    );
    const steps = place < 0 ? readers.length + spread / stepShare : place - 1;
    // Links to the reader from hosts without a place close for other reasons, too.
    const silenceShare = hasLostReader && place > 0 ? 0 : takeoverShare;
    const waitMs = (silenceShare + steps * stepShare) * freshnessMs;
    return now - lastReportAt >= waitMs;
}

/** Whether the platform has answered a host of the failure domain so recently that nobody need take over. */
export function isDomainServed(answeredAt: number, facts: { now: number; freshnessMs: number }): boolean {
    return facts.now - answeredAt < takeoverShare * facts.freshnessMs;
}

export interface HeadTurnFacts {
    /** Place of this host in the order of `HeadDutyFacts.readers`. */
    readonly place: number;
    /** Number of hosts in the order. */
    readonly places: number;
    /** Time of the last answered read of the failure domain. All hosts in the order know it from the reports. */
    readonly answeredAt: number;
    /** Time of the last read of this host. */
    readonly lastReadAt: number;
    readonly freshnessMs: number;
    readonly failureDomain: string;
}

/**
 * Time of the next read of a host in a failure domain that the platform does not serve. The hosts in the order take turns,
 * so that a read comes at short and even intervals although each of them reads rarely. The turns of different failure
 * domains are shifted towards earlier by up to half of the freshness limit, because a change is the last answer to all of
 * them.
 *
 * @returns milliseconds since the epoch
 * @example
 * ```ts
 * // Of two hosts with a freshness limit of 2 s, the first one reads 0.9 s, 2.9 s and 4.9 s after the last answer.
 * const facts = { place: 0, places: 2, answeredAt: 0, freshnessMs: 2_000, failureDomain: "zone-a" };
 * nextHeadTurnAt({ ...facts, lastReadAt: 1_500 }); // 2895.3
 * ```
 */
export function nextHeadTurnAt(facts: HeadTurnFacts): number {
    const { place, places, answeredAt, lastReadAt, freshnessMs, failureDomain } = facts;
    const shift = (hash32(failureDomain) / 2 ** 32) * turnShare;
    const firstAt = answeredAt + (firstTurnShare + place * turnShare - shift) * freshnessMs;
    const periodMs = Math.max(places * turnShare, minTurnPeriodShare) * freshnessMs;
    const turnsSoFar = Math.floor((lastReadAt - firstAt) / periodMs) + 1;
    return firstAt + Math.max(0, turnsSoFar) * periodMs;
}
