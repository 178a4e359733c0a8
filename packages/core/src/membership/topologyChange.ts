import { isLive } from "./order.js";
import type { HostRecord } from "./record.js";

/**
 * Whether the changed records can alter roles or neighbours: a host joined, was lost, or changed its failure domain,
 * region or address.
 */
export function affectsTopology(
    before: { get(host: string): HostRecord | undefined },
    changed: readonly HostRecord[],
): boolean {
    return changed.some(record => topologyKey(before.get(record.host)) !== topologyKey(record));
}

function topologyKey(record: HostRecord | undefined): string {
    return record !== undefined && isLive(record)
        ? `${record.failureDomain}\n${record.region}\n${record.peerAddress}`
        : "";
}
