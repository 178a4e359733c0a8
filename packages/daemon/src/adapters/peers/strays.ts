import { isLive } from "@tanagertray/core";
import type { Membership } from "../../board.js";

/** Addresses that one domain relay tries beside those of its neighbours. */
const maxStrays = 16;

/**
 * Addresses at which hosts may be that nobody here has a link to: those that the rows of the failure domains name and no
 * live record does, and those of hosts of the own domain that failed or left. A host that restarts while the platform
 * is away knows no address, so the others have to find it; when all restarted, only the rows still name it.
 */
export function findStrays(
    { self, records }: Membership,
    listed: ReadonlyMap<string, readonly string[]>,
    { isRelay }: { readonly isRelay: boolean },
): readonly string[] {
    if (!isRelay) {
        return [];
    }
    const all = [...records.values()];
    const live = new Set(all.filter(isLive).map(({ peerAddress }) => peerAddress));
    const unknown = [...listed].flatMap(([, addresses]) => addresses).filter(address => !live.has(address));
    const gone = all
        .filter(record => !isLive(record) && record.failureDomain === self.failureDomain)
        .map(({ peerAddress }) => peerAddress)
        .filter(address => !live.has(address));
    return [...new Set([...unknown, ...gone])].slice(0, maxStrays);
}
