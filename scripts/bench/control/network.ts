import type { HostRecord } from "@tanagertray/core";

/** Delays and bandwidth between hosts, as the design page gives them for each user. */
export interface NetworkProfile {
    readonly betweenDomainsMs: number;
    readonly betweenRegionsMs: number;
}

/** One-way delays of the two users. */
export const profiles = {
    azraq: { betweenDomainsMs: 1.5, betweenRegionsMs: 12 },
    kuasa: { betweenDomainsMs: 1, betweenRegionsMs: 12 },
} satisfies Record<string, NetworkProfile>;

/** Assumed; neither user gave a figure for the delay within a failure domain. */
const withinDomainMs = 0.25;
/** Assumed variation of each delay. */
const delaySpread = 0.2;
/** 4,000 Mbit/s between two regions in each direction. */
const regionBytesPerMs = 500_000;
/** Assumed time in which the platform answers one request. */
export const platformServiceMs = 5;
/** Bytes of a conditional read that finds nothing new: request and response heads. Assumed. */
export const emptyReadBytes = 350;

export interface Network {
    /** Virtual time at which a message sent now arrives; messages of one link keep their order. */
    readonly arrival: (from: HostRecord, to: HostRecord, bytes: number, now: number) => number;
    /** Time from the request to the answer of the platform, which is in the first region. */
    readonly platformMs: (from: HostRecord) => number;
    readonly regionBytes: () => number;
    readonly bytes: () => number;
}

export const platformRegion = "region-0";

export function createNetwork(profile: NetworkProfile, random: () => number): Network {
    const lastArrival = new Map<string, number>();
    const regionFreeAt = new Map<string, number>();
    let regionBytes = 0;
    let bytes = 0;

    function delayMs(from: HostRecord, to: HostRecord): number {
        const base =
            from.region !== to.region
                ? profile.betweenRegionsMs
                : from.failureDomain !== to.failureDomain
                  ? profile.betweenDomainsMs
                  : withinDomainMs;
        return base * (1 + delaySpread * (random() - 0.5));
    }

    function arrival(from: HostRecord, to: HostRecord, size: number, now: number): number {
        bytes += size;
        let leaves = now;
        if (from.region !== to.region) {
            regionBytes += size;
            const direction = `${from.region}>${to.region}`;
            leaves = Math.max(now, regionFreeAt.get(direction) ?? 0) + size / regionBytesPerMs;
            regionFreeAt.set(direction, leaves);
        }
        const link = `${from.host}>${to.host}`;
        const at = Math.max(leaves + delayMs(from, to), lastArrival.get(link) ?? 0);
        lastArrival.set(link, at);
        return at;
    }

    return {
        arrival,
        platformMs: from =>
            platformServiceMs +
            2 * (from.region === platformRegion ? profile.betweenDomainsMs : profile.betweenRegionsMs),
        regionBytes: () => regionBytes,
        bytes: () => bytes,
    };
}
