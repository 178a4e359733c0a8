import { isLive } from "./order.js";
import type { HostRecord } from "./record.js";
import { rendezvousHash } from "./rendezvous.js";

/** Limit of addresses in the row of a failure domain. */
export const maxDomainAddresses = 4;

/**
 * Chooses the addresses that the row of a failure domain should list, from the view of one of its relays. A relay that
 * knows no other member keeps the listed addresses, because it may not have reached those hosts yet. Once it has found
 * them unreachable, it lists itself first, so that the members of a restarted domain find each other. Listed addresses
 * without a live record fill the remaining places: a host there may be refused by the platform, in which case it knows
 * no other host and depends on being dialled.
 */
export function chooseDomainAddresses(
    self: HostRecord,
    records: Iterable<HostRecord>,
    listed: readonly string[],
    listedUnreachable: boolean,
): readonly string[] {
    const members = new Map([[self.host, self.peerAddress]]);
    for (const record of records) {
        if (record.failureDomain === self.failureDomain && isLive(record)) {
            members.set(record.host, record.peerAddress);
        }
    }
    if (members.size === 1 && listed.length > 0) {
        const others = listed.filter(address => address !== self.peerAddress);
        return listedUnreachable ? [self.peerAddress, ...others].slice(0, maxDomainAddresses) : listed;
    }
    const chosen = rendezvousHash(`row/${self.failureDomain}`, members.keys(), maxDomainAddresses)
        .map(host => members.get(host) ?? "")
        .sort();
    const liveAddresses = new Set(members.values());
    return [...chosen, ...listed.filter(address => !liveAddresses.has(address))].slice(0, maxDomainAddresses);
}
