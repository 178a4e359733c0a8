import { isLive } from "./order.js";
import type { HostRecord, ServiceOffer } from "./record.js";

/** How soon other hosts need a changed record. */
export const NewsUrgency = {
    /** Calls must stop going to a host or a backend server. */
    Immediate: "immediate",
    /** A host or a backend server is new. */
    Soon: "soon",
    /** Only the version changed, which neighbours also learn from heartbeats. */
    Later: "later",
} as const;
export type NewsUrgency = (typeof NewsUrgency)[keyof typeof NewsUrgency];

/** Minimum time between two messages with such news on a link, in milliseconds. News in between is combined. */
export const newsIntervalMs = {
    [NewsUrgency.Immediate]: 0,
    [NewsUrgency.Soon]: 300,
    [NewsUrgency.Later]: 2_000,
} satisfies Record<NewsUrgency, number>;

/**
 * Returns how soon a changed record has to be passed on.
 *
 * @param before - the record that it replaces; `undefined` for a new host
 */
export function urgencyOf(before: HostRecord | undefined, after: HostRecord): NewsUrgency {
    if (before === undefined) {
        return NewsUrgency.Soon;
    }
    const endsCalls =
        (isLive(before) && !isLive(after)) ||
        before.state !== after.state ||
        JSON.stringify(before.departures) !== JSON.stringify(after.departures) ||
        before.offers.some(offer => !offersAtLeast(after.offers, offer));
    if (endsCalls) {
        return NewsUrgency.Immediate;
    }
    const isVersionOnly =
        before.incarnation === after.incarnation &&
        before.peerAddress === after.peerAddress &&
        JSON.stringify([before.offers, before.rejected]) === JSON.stringify([after.offers, after.rejected]);
    return isVersionOnly ? NewsUrgency.Later : NewsUrgency.Soon;
}

function offersAtLeast(offers: readonly ServiceOffer[], { service, slots }: ServiceOffer): boolean {
    return offers.some(offer => offer.service === service && offer.slots >= slots);
}

export interface PendingNews {
    /** Highest urgency of the pending records. */
    readonly urgency: NewsUrgency;
    /** Time of the last message with news. */
    readonly lastSentAt: number;
    readonly now: number;
}

/**
 * Whether pending news should be sent now. Single news goes out at once; while much changes, as at the start of a fleet,
 * it is gathered, so that the number of messages does not grow with the number of hosts.
 */
export function isNewsDue({ urgency, lastSentAt, now }: PendingNews): boolean {
    return now - lastSentAt >= newsIntervalMs[urgency];
}
