import { isLive } from "./order.js";
import type { HostRecord } from "./record.js";

/**
 * Whether roles or neighbours may have changed: a host came, went or moved. Expired tombstones change neither.
 */
export function hasMoved(
    before: ReadonlyMap<string, HostRecord>,
    after: ReadonlyMap<string, HostRecord>,
): boolean {
    const place = (record: HostRecord | undefined) =>
        record !== undefined && isLive(record)
            ? `${record.failureDomain}\n${record.region}\n${record.peerAddress}`
            : "";
    const changed = ([host, record]: [string, HostRecord]) => {
        const known = before.get(host);
        return known !== record && place(known) !== place(record);
    };
    return [...after].some(changed);
}
