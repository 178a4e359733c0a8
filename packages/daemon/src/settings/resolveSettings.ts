import {
    defaultTierCosts,
    objectStoreFallbackDelayMs,
    retryBurst,
    retryRatio,
    Tier,
    type TierCosts,
} from "@tanagertray/core";
import { Spread, TraceExporter, type Endpoint, type ResolvedSettings, type Settings } from "./settings.js";

/** Bandwidth of a common server network card, in megabits per second. */
const defaultLinkMbps = 1_000;
/** Two thirds of the time in which an accepted version has to be in force at the size that the design targets. */
const defaultFreshnessMs = 6_000;

/**
 * Resolves every default of validated settings.
 *
 * @example
 * ```ts
 * const resolved = resolveSettings(settings);
 * resolved.spread; // "eager"
 * ```
 */
export function resolveSettings(settings: Settings): ResolvedSettings {
    return {
        host: settings.host,
        failureDomain: settings.failureDomain,
        region: settings.region,
        listen: {
            calls: parseEndpoint(settings.listen.calls),
            peer: parseEndpoint(settings.listen.peer),
            admin: parseEndpoint(settings.listen.admin),
        },
        advertise: { peer: parseEndpoint(settings.advertise?.peer ?? settings.listen.peer) },
        platform: {
            url: settings.platform.url,
            watchMs: settings.platform.watchMs ?? 0,
            freshnessMs: settings.platform.freshnessMs ?? defaultFreshnessMs,
            patienceMs: settings.platform.patienceMs ?? objectStoreFallbackDelayMs,
        },
        peers: settings.peers ?? [],
        keys: {
            operator: settings.keys?.operator ?? [],
            backendServer: settings.keys?.backendServer ?? [],
            peer: settings.trustedNetwork === true ? undefined : (settings.keys?.peer ?? []),
        },
        spread: settings.spread ?? Spread.Eager,
        distances: resolveDistances(settings.distances),
        retries: {
            ratio: settings.retries?.ratio ?? retryRatio,
            burst: settings.retries?.burst ?? retryBurst,
        },
        shutdown: {
            lingerMs: settings.shutdown?.lingerMs ?? 0,
            graceMs: settings.shutdown?.graceMs,
        },
        linkMbps: settings.linkMbps ?? defaultLinkMbps,
        outsideCallers: settings.outsideCallers ?? true,
        log: { level: settings.log?.level ?? "info" },
        traces: { exporter: settings.traces?.exporter ?? TraceExporter.None, url: settings.traces?.url },
    };
}

function resolveDistances(configured: Settings["distances"] = {}): TierCosts {
    const resolve = (tier: Tier) => ({ ...defaultTierCosts[tier], ...configured[tier] });
    return {
        [Tier.OwnHost]: resolve(Tier.OwnHost),
        [Tier.OwnFailureDomain]: resolve(Tier.OwnFailureDomain),
        [Tier.OwnRegion]: resolve(Tier.OwnRegion),
        [Tier.OtherRegions]: resolve(Tier.OtherRegions),
    };
}

/** Parses `address:port`. An IPv6 address is enclosed in brackets. */
export function parseEndpoint(text: string): Endpoint {
    const colon = text.lastIndexOf(":");
    return { address: text.slice(0, colon).replace(/^\[|\]$/g, ""), port: Number(text.slice(colon + 1)) };
}

export function formatEndpoint(endpoint: Endpoint): string {
    const address = endpoint.address.includes(":") ? `[${endpoint.address}]` : endpoint.address;
    return `${address}:${endpoint.port}`;
}
