import { isLive } from "@tanagertray/core";
import type { Membership } from "../../board.js";

/** Limit of the addresses that a domain relay dials in addition to those of its neighbours. */
const maxCandidateAddresses = 16;
/**
 * Time that a relay waits before it dials another failure domain that it knows no host of, in milliseconds. Meanwhile it
 * usually learns of that domain from one that is linked already.
 */
const unknownDomainDelayMs = 100;
/** Additional delay for each further address of such a domain, in milliseconds. One link to the domain is enough. */
const furtherAddressDelayMs = 500;

export interface CandidateAddress {
    readonly address: string;
    /** Time to wait before the address is dialed for the first time, in milliseconds. */
    readonly minDelayMs: number;
}

/**
 * Returns addresses where hosts without a link to this failure domain may listen: those listed in the domain rows that no
 * live record has, and those of hosts of the own domain that failed or left. A host that restarts while the platform is
 * unreachable knows no addresses, so other hosts must dial it. If all hosts restarted, only the domain rows list it.
 */
export function findCandidateAddresses(
    { self, records }: Membership,
    domainAddresses: ReadonlyMap<string, readonly string[]>,
    { isRelay }: { readonly isRelay: boolean },
): readonly CandidateAddress[] {
    if (!isRelay) {
        return [];
    }
    const allRecords = [...records.values()];
    const liveRecords = allRecords.filter(isLive);
    const liveAddresses = new Set(liveRecords.map(({ peerAddress }) => peerAddress));
    const knownDomains = new Set([self.failureDomain, ...liveRecords.map(record => record.failureDomain)]);
    const candidates = new Map<string, CandidateAddress>();
    for (const [domain, addresses] of domainAddresses) {
        addresses
            .filter(address => !liveAddresses.has(address))
            .forEach((address, index) => {
                const minDelayMs = knownDomains.has(domain)
                    ? 0
                    : unknownDomainDelayMs + index * furtherAddressDelayMs;
                candidates.set(address, { address, minDelayMs });
            });
    }
    allRecords
        .filter(record => !isLive(record) && record.failureDomain === self.failureDomain)
        .map(({ peerAddress }) => peerAddress)
        .filter(address => !liveAddresses.has(address) && !candidates.has(address))
        .forEach(address => candidates.set(address, { address, minDelayMs: 0 }));
    return [...candidates.values()].slice(0, maxCandidateAddresses);
}
