import { findFreePorts, startMetadataStore, startRelay, type Relay } from "@tanagertray/standin";
import type { StandInMetadataStore, StoreEndpoint } from "@tanagertray/standin";
import { Link } from "./faults.js";
import type { ResolvedSoakOptions } from "./options.js";

/** Addresses of a host, which its processes keep over their restarts. */
export interface Place {
    readonly host: number;
    readonly name: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly service: string;
    readonly daemonAddresses: readonly [string, string, string, string, string];
    readonly serverPort: number;
    /** Address of the store for this host, which has faults of its own. */
    readonly door: StoreEndpoint;
    /** What stands before the listeners, on hosts that are reached through relays. */
    readonly relays: ReadonlyMap<Link, Relay>;
}

export interface Site {
    readonly services: readonly string[];
    readonly store: StandInMetadataStore;
    readonly places: readonly Place[];
    close(): Promise<void>;
}

const portsPerHost = 6;
const hostsPerDomain = 2;
const domainsPerRegion = 2;

/** Service of a host: neighbours have different ones, and each service has hosts in different failure domains. */
function serviceOf(host: number, hosts: number): string {
    return `s${(host % Math.max(1, Math.floor(hosts / 2))) + 1}`;
}

/** Starts the store and the relays, and chooses the addresses of the processes. */
export async function createSite({ hosts }: ResolvedSoakOptions, relayed: readonly number[]): Promise<Site> {
    const store = await startMetadataStore();
    const ports = await findFreePorts(hosts * portsPerHost);
    const places = await Promise.all(
        Array.from({ length: hosts }, async (_, host): Promise<Place> => {
            const own = ports.slice(host * portsPerHost, (host + 1) * portsPerHost);
            const addresses = own.map(port => `127.0.0.1:${port}`);
            const door = await store.openEndpoint();
            const targets = {
                [Link.Peer]: addresses[1] ?? "",
                [Link.Server]: addresses[5] ?? "",
                [Link.Store]: door.address,
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
                daemonAddresses: addresses.slice(0, 5) as unknown as Place["daemonAddresses"],
                serverPort: own[5] ?? 0,
                door,
                relays: new Map((await Promise.all(relays)) as [Link, Relay][]),
            };
        }),
    );
    return {
        services: [...new Set(places.map(({ service }) => service))],
        store,
        places,
        async close() {
            await Promise.all(
                places.flatMap(({ relays }) => [...relays.values()].map(relay => relay.close())),
            );
            await store.close();
        },
    };
}

/** Address under which others reach a listener of the host. */
export function reachedAt({ relays }: Place, link: Link, direct: string): string {
    return relays.get(link)?.address ?? direct;
}
