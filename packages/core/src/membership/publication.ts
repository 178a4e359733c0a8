import { lagMs, maxLagJitterMs, minVersionPublicationMs, versionPublicationsPerSecond } from "./constants.js";
import type { HostRecord } from "./record.js";

/** What a host publishes of itself, apart from its identity. */
export type Advertisement = Pick<HostRecord, "state" | "offers" | "departures" | "version" | "rejected">;

export interface PublicationState {
    readonly self: HostRecord;
    readonly advertisement: Advertisement;
    readonly publishedAt: number;
    /** Number of known hosts. */
    readonly hosts: number;
    /** Since when the host has held less than the highest announced version. */
    readonly laggingSince: number | undefined;
    /** Whether this lag was already published. */
    readonly lagPublished: boolean;
    /**
     * Random share of the jitter of this lag, from 0 to 1.
     * @default 0
     */
    readonly lagShare?: number;
    readonly now: number;
}

/**
 * Whether the host publishes its record now. Offers, departures, state and rejections go out at once; a mere change of the
 * held version waits, so that the whole deployment writes a bounded number of such records per second.
 */
export function isPublicationDue(state: PublicationState): boolean {
    const { self, advertisement, now } = state;
    const urgent =
        advertisement.state !== self.state ||
        JSON.stringify([advertisement.offers, advertisement.departures, advertisement.rejected]) !==
            JSON.stringify([self.offers, self.departures, self.rejected]);
    const lagging =
        state.laggingSince !== undefined &&
        !state.lagPublished &&
        now - state.laggingSince >= lagMs + lagJitterMs(state.hosts, state.lagShare ?? 0);
    const versionDue =
        advertisement.version !== self.version && now - state.publishedAt >= versionPeriodMs(state.hosts);
    return urgent || lagging || versionDue;
}

/** Least time between two records of one host that tell only of a new version. */
export function versionPeriodMs(hosts: number): number {
    return Math.max(minVersionPublicationMs, (hosts * 1_000) / versionPublicationsPerSecond);
}

/**
 * Wait before a lag is published: at most the time in which the whole deployment keeps to its rate of version
 * records, and at most a minute, so that operators hear of a single lagging host.
 */
function lagJitterMs(hosts: number, share: number): number {
    return share * Math.min(maxLagJitterMs, versionPeriodMs(hosts) - minVersionPublicationMs);
}
