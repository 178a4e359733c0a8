import { EventLevel, tombstoneTtlMs, type Event, type HostTable } from "@tanagertray/core";

/** Events that report a reached limit of the membership. Each function returns none while its limit is not reached. */

/** Received records that were dropped because too many wait for the next tick. */
export function pendingFullEvents(from: string, dropped: number): readonly Event[] {
    const fields = { from, dropped };
    return dropped > 0 ? [{ name: "membership.pendingFull", level: EventLevel.Warn, fields }] : [];
}

/** Tombstones that were removed before they expired, because the table holds too many. */
export function tombstonesFullEvents(before: HostTable, after: HostTable, now: number): readonly Event[] {
    const droppedEarly = [...before.since].filter(
        ([host, at]) => !after.since.has(host) && now - at < tombstoneTtlMs,
    );
    const fields = { dropped: droppedEarly.length };
    return droppedEarly.length > 0
        ? [{ name: "membership.tombstonesFull", level: EventLevel.Warn, fields }]
        : [];
}

/** Buckets that differ but are left to a later round of anti-entropy. */
export function repairLimitedEvents(
    from: string,
    digests: { readonly local: readonly number[]; readonly remote: readonly number[] },
    repaired: number,
): readonly Event[] {
    const differing = digests.local.filter((hash, bucket) => hash !== digests.remote[bucket]).length;
    const fields = { from, differing, repaired };
    return repaired < differing
        ? [{ name: "membership.repairLimited", level: EventLevel.Debug, fields }]
        : [];
}
