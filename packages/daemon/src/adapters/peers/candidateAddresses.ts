import { isLive } from "@tanagertray/core";
import type { Membership } from "../../board.js";

/** Limit of the addresses that a domain relay dials in addition to those of its neighbours. */
const maxCandidateAddresses = 16;

/**
 * Returns addresses where hosts without a link to this failure domain may listen: those listed in the domain rows that no
 * live record has, and those of hosts of the own domain that failed or left. A host that restarts while the platform is
 * unreachable knows no addresses, so other hosts must dial it. If all hosts restarted, only the domain rows list it.
 */
export function findCandidateAddresses(
    { self, records }: Membership,
    domainAddresses: ReadonlyMap<string, readonly string[]>,
    { isRelay }: { readonly isRelay: boolean },
): readonly string[] {
    if (!isRelay) {
        return [];
    }
    const allRecords = [...records.values()];
    const liveAddresses = new Set(allRecords.filter(isLive).map(({ peerAddress }) => peerAddress));
    const unknownAddresses = [...domainAddresses]
        .flatMap(([, addresses]) => addresses)
        .filter(address => !liveAddresses.has(address));
    const departedAddresses = allRecords
        .filter(record => !isLive(record) && record.failureDomain === self.failureDomain)
        .map(({ peerAddress }) => peerAddress)
        .filter(address => !liveAddresses.has(address));
    return [...new Set([...unknownAddresses, ...departedAddresses])].slice(0, maxCandidateAddresses);
}
