import { headReadersPerDomain, relaysPerGroup, ringSuccessorCount } from "./constants.js";
import { hash32 } from "./hash.js";
import { isLive } from "./order.js";
import type { HostRecord } from "./record.js";
import { rendezvousHash } from "./rendezvous.js";

export interface Neighbour {
    readonly host: string;
    readonly address: string;
}

/** Roles and neighbours of a host. */
export interface Topology {
    /** Whether this host is the first of `headReaders`. */
    readonly headReader: boolean;
    /** Hosts of the failure domain that read the head row, in the order in which they take over. */
    readonly headReaders: readonly string[];
    readonly domainRelay: boolean;
    readonly regionRelay: boolean;
    /** Hosts to which this host should have a link. */
    readonly neighbours: readonly Neighbour[];
}

/** Computes the roles and neighbours of a host. Hosts with the same records agree on every role. */
export function chooseTopology(self: HostRecord, records: Iterable<HostRecord>): Topology {
    const live = new Map([...records].filter(isLive).map(record => [record.host, record]));
    live.set(self.host, self);
    const domains = groupBy(live.values(), record => record.failureDomain);
    const regions = groupBy(live.values(), record => record.region);
    const relaysOf = (domain: string) =>
        rendezvousHash(`relay/${domain}`, hostNames(domains.get(domain) ?? []), relaysPerGroup);
    const regionRelaysOf = (region: string) => {
        const names = new Set((regions.get(region) ?? []).map(record => record.failureDomain));
        return rendezvousHash(`region/${region}`, [...names].flatMap(relaysOf), relaysPerGroup);
    };
    const members = hostNames(domains.get(self.failureDomain) ?? []);
    const domainRelay = relaysOf(self.failureDomain).includes(self.host);
    const regionRelay = domainRelay && regionRelaysOf(self.region).includes(self.host);
    const neighbourHosts = new Set(domainNeighbours(self.host, members));
    if (domainRelay) {
        const names = new Set((regions.get(self.region) ?? []).map(record => record.failureDomain));
        [...names].flatMap(relaysOf).forEach(host => neighbourHosts.add(host));
    }
    if (regionRelay) {
        [...regions.keys()].flatMap(regionRelaysOf).forEach(host => neighbourHosts.add(host));
    }
    const headReaders = rendezvousHash(`head/${self.failureDomain}`, members, headReadersPerDomain);
    if (headReaders.includes(self.host)) {
        headReaders.forEach(host => neighbourHosts.add(host));
    }
    neighbourHosts.delete(self.host);
    return {
        headReader: headReaders[0] === self.host,
        headReaders,
        domainRelay,
        regionRelay,
        neighbours: [...neighbourHosts].map(host => ({ host, address: live.get(host)?.peerAddress ?? "" })),
    };
}

function domainNeighbours(self: string, members: readonly string[]): string[] {
    const ring = members
        .map(host => ({ host, position: hash32(host) }))
        .sort((a, b) => a.position - b.position || (a.host < b.host ? -1 : 1))
        .map(entry => entry.host);
    const selfIndex = ring.indexOf(self);
    const othersInRingOrder = [...ring.slice(selfIndex + 1), ...ring.slice(0, selfIndex)];
    const successors = othersInRingOrder.slice(0, ringSuccessorCount);
    return [...successors, ...rendezvousHash(`link/${self}`, othersInRingOrder.slice(ringSuccessorCount), 1)];
}

function hostNames(records: readonly HostRecord[]): string[] {
    return records.map(record => record.host);
}

function groupBy(
    records: Iterable<HostRecord>,
    key: (record: HostRecord) => string,
): Map<string, HostRecord[]> {
    const groups = new Map<string, HostRecord[]>();
    for (const record of records) {
        const group = groups.get(key(record));
        if (group === undefined) {
            groups.set(key(record), [record]);
        } else {
            group.push(record);
        }
    }
    return groups;
}
