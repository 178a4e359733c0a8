import { isLive } from "./order.js";
import type { HostRecord } from "./record.js";
import { rendezvous } from "./rendezvous.js";

/** Addresses in the row of a failure domain. */
export const maxDomainAddresses = 4;

/**
 * The addresses that the row of a failure domain should list, seen from one of its relays. A host that knows no
 * other member leaves a filled row alone, because it may just not have reached the others; once it has found
 * the listed hosts unreachable, it puts itself first, so that members of a restarted domain find each other.
 * Addresses without a live record keep the places that are left: the platform may turn away the host there, which
 * then knows nobody and has to be dialled.
 */
export function chooseDomainAddresses(
    self: HostRecord,
    records: Iterable<HostRecord>,
    listed: readonly string[],
    unreachable: boolean,
): readonly string[] {
    const members = new Map([[self.host, self.peerAddress]]);
    for (const record of records) {
        if (record.failureDomain === self.failureDomain && isLive(record)) {
            members.set(record.host, record.peerAddress);
        }
    }
    if (members.size === 1 && listed.length > 0) {
        const others = listed.filter(address => address !== self.peerAddress);
        return unreachable ? [self.peerAddress, ...others].slice(0, maxDomainAddresses) : listed;
    }
    const chosen = rendezvous(`row/${self.failureDomain}`, members.keys(), maxDomainAddresses)
        .map(host => members.get(host) ?? "")
        .sort();
    const known = new Set(members.values());
    return [...chosen, ...listed.filter(address => !known.has(address))].slice(0, maxDomainAddresses);
}
