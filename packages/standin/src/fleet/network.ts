import type { Location } from "@tanagertray/core";

/** One-way network delays of a user, from the design page. */
export interface NetworkProfile {
    readonly betweenDomainsMs: number;
    readonly betweenRegionsMs: number;
}

/** Network profiles by user. */
export const profiles = {
    azraq: { betweenDomainsMs: 1.5, betweenRegionsMs: 12 },
    kuasa: { betweenDomainsMs: 1, betweenRegionsMs: 12 },
} satisfies Record<string, NetworkProfile>;

/** One-way delay within a failure domain, which neither user specifies. */
const withinDomainMs = 0.25;
/** Width of the range around each delay, as a share of it. */
const delayVariation = 0.2;
/** Bandwidth between two regions in each direction: 4,000 Mbit/s. */
const regionBytesPerMs = 500_000;
/** Time that the platform takes to respond to one request, in milliseconds. */
export const platformServiceMs = 5;
/** Size of a conditional read without a change: request and response headers, in bytes. */
export const emptyReadBytes = 350;

export interface Network {
    /** Returns the virtual time at which a message sent at `now` arrives. Messages on one link stay in order. */
    readonly arrival: (from: Location, to: Location, bytes: number, now: number) => number;
    /** Returns the time from a request to the response of the platform, which is in the first region. */
    readonly platformRoundTripMs: (from: Location) => number;
    readonly regionBytes: () => number;
    /** Bytes between failure domains of one region. */
    readonly domainBytes: () => number;
    readonly bytes: () => number;
}

export const platformRegion = "region-0";

export function createNetwork(profile: NetworkProfile, random: () => number): Network {
    const lastArrival = new Map<string, number>();
    const regionFreeAt = new Map<string, number>();
    let regionBytes = 0;
    let domainBytes = 0;
    let bytes = 0;

    function delayMs(from: Location, to: Location): number {
        const base =
            from.region !== to.region
                ? profile.betweenRegionsMs
                : from.failureDomain !== to.failureDomain
                  ? profile.betweenDomainsMs
                  : withinDomainMs;
        return base * (1 + delayVariation * (random() - 0.5));
    }

    function arrival(from: Location, to: Location, size: number, now: number): number {
        bytes += size;
        let departsAt = now;
        if (from.region !== to.region) {
            regionBytes += size;
            const direction = `${from.region}>${to.region}`;
            departsAt = Math.max(now, regionFreeAt.get(direction) ?? 0) + size / regionBytesPerMs;
            regionFreeAt.set(direction, departsAt);
        }
        if (from.region === to.region && from.failureDomain !== to.failureDomain) {
            domainBytes += size;
        }
        const link = `${from.host}>${to.host}`;
        const arrivesAt = Math.max(departsAt + delayMs(from, to), lastArrival.get(link) ?? 0);
        lastArrival.set(link, arrivesAt);
        return arrivesAt;
    }

    return {
        arrival,
        platformRoundTripMs: from =>
            platformServiceMs +
            2 * (from.region === platformRegion ? profile.betweenDomainsMs : profile.betweenRegionsMs),
        regionBytes: () => regionBytes,
        domainBytes: () => domainBytes,
        bytes: () => bytes,
    };
}
