import {
    lagThresholdMs,
    maxLagJitterMs,
    minVersionIntervalMs,
    versionPublicationsPerSecond,
} from "./constants.js";
import type { HostRecord } from "./record.js";

/** The part of a host's record that describes its current state, without its identity. */
export type Advertisement = Pick<HostRecord, "state" | "offers" | "departures" | "version" | "rejected">;

export interface PublicationState {
    readonly self: HostRecord;
    readonly advertisement: Advertisement;
    readonly publishedAt: number;
    /** Number of known hosts. */
    readonly hosts: number;
    /** Time since which the host's version has been lower than the highest announced version. */
    readonly laggingSince: number | undefined;
    /** Whether the present lag was already published. */
    readonly lagPublished: boolean;
    /**
     * Random share of the maximum jitter for the present lag, from 0 to 1.
     * @default 0
     */
    readonly lagShare?: number;
    readonly now: number;
}

/**
 * Whether the host should publish its record now. Changes of offers, departures, state and rejections are published at
 * once. A change of only the version is delayed, which limits the rate of such records over the whole deployment.
 */
export function isPublicationDue(state: PublicationState): boolean {
    const { self, advertisement, now } = state;
    const hasUrgentChange =
        advertisement.state !== self.state ||
        JSON.stringify([advertisement.offers, advertisement.departures, advertisement.rejected]) !==
            JSON.stringify([self.offers, self.departures, self.rejected]);
    const isLagDue =
        state.laggingSince !== undefined &&
        !state.lagPublished &&
        now - state.laggingSince >= lagThresholdMs + lagJitterMs(state.hosts, state.lagShare ?? 0);
    const isVersionDue =
        advertisement.version !== self.version &&
        now - state.publishedAt >= versionPublicationIntervalMs(state.hosts);
    return hasUrgentChange || isLagDue || isVersionDue;
}

/** Minimum time between two records of a host that differ only in the version. It grows with the deployment. */
export function versionPublicationIntervalMs(hosts: number): number {
    return Math.max(minVersionIntervalMs, (hosts * 1_000) / versionPublicationsPerSecond);
}

/**
 * Delay before a lag is published. Spreading the records over the publication interval keeps the rate of version
 * records; the limit of one minute ensures that operators learn of a single lagging host soon.
 */
function lagJitterMs(hosts: number, share: number): number {
    return share * Math.min(maxLagJitterMs, versionPublicationIntervalMs(hosts) - minVersionIntervalMs);
}
