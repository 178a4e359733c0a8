import { isLive } from "./order.js";
import type { HostRecord } from "./record.js";

/** Whether the changed records may change roles or neighbours: a host came, went or moved. */
export function hasMoved(
    before: { get(host: string): HostRecord | undefined },
    changed: readonly HostRecord[],
): boolean {
    return changed.some(record => placeOf(before.get(record.host)) !== placeOf(record));
}

function placeOf(record: HostRecord | undefined): string {
    return record !== undefined && isLive(record)
        ? `${record.failureDomain}\n${record.region}\n${record.peerAddress}`
        : "";
}
