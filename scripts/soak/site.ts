import { findFreePorts, startMetadataStore, startRelay, type Relay } from "@tanagertray/standin";
import type { StandInMetadataStore, StoreEndpoint } from "@tanagertray/standin";
import { Link } from "./faults.js";
import type { ResolvedSoakOptions } from "./options.js";

/** A host and its addresses, which stay the same when its processes restart. */
export interface SiteHost {
    readonly host: number;
    readonly name: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly service: string;
    readonly daemonAddresses: readonly [string, string, string, string, string];
    readonly serverPort: number;
    /** Endpoint of the store for this host only, so that store faults can affect single hosts. */
    readonly storeEndpoint: StoreEndpoint;
    /** Relays in front of the listeners; empty for hosts that are reached directly. */
    readonly relays: ReadonlyMap<Link, Relay>;
}

export interface Site {
    readonly services: readonly string[];
    readonly store: StandInMetadataStore;
    readonly siteHosts: readonly SiteHost[];
    close(): Promise<void>;
}

const portsPerHost = 6;
const hostsPerDomain = 2;
const domainsPerRegion = 2;

/** Returns the service of a host. Consecutive hosts have different services, and each service spans failure domains. */
function serviceOf(host: number, hosts: number): string {
    return `s${(host % Math.max(1, Math.floor(hosts / 2))) + 1}`;
}

/** Starts the store and the relays, and chooses the addresses of the processes. */
export async function createSite({ hosts }: ResolvedSoakOptions, relayed: readonly number[]): Promise<Site> {
    const store = await startMetadataStore();
    const ports = await findFreePorts(hosts * portsPerHost);
    const siteHosts = await Promise.all(
        Array.from({ length: hosts }, async (_, host): Promise<SiteHost> => {
            const hostPorts = ports.slice(host * portsPerHost, (host + 1) * portsPerHost);
            const addresses = hostPorts.map(port => `127.0.0.1:${port}`);
            const storeEndpoint = await store.openEndpoint();
            const targets = {
                [Link.Peer]: addresses[1] ?? "",
                [Link.Server]: addresses[5] ?? "",
                [Link.Store]: storeEndpoint.address,
            } satisfies Record<Link, string>;
            const relays = relayed.includes(host)
                ? Object.entries(targets).map(
                      async ([link, target]) => [link, await startRelay({ target })] as const,
                  )
                : [];
            const domain = Math.floor(host / hostsPerDomain);
            return {
                host,
                name: `h${host}`,
                failureDomain: `domain-${domain}`,
                region: `region-${Math.floor(domain / domainsPerRegion)}`,
                service: serviceOf(host, hosts),
                daemonAddresses: addresses.slice(0, 5) as unknown as SiteHost["daemonAddresses"],
                serverPort: hostPorts[5] ?? 0,
                storeEndpoint,
                relays: new Map((await Promise.all(relays)) as [Link, Relay][]),
            };
        }),
    );
    return {
        services: [...new Set(siteHosts.map(({ service }) => service))],
        store,
        siteHosts,
        async close() {
            await Promise.all(
                siteHosts.flatMap(({ relays }) => [...relays.values()].map(relay => relay.close())),
            );
            await store.close();
        },
    };
}

/** Returns the address at which other processes reach a listener: that of its relay, if it has one. */
export function reachableAddress({ relays }: SiteHost, link: Link, direct: string): string {
    return relays.get(link)?.address ?? direct;
}
