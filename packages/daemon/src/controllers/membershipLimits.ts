import { EventLevel, tombstoneTtlMs, type Event, type HostTable } from "@tanagertray/core";

/** Events that show when a bound of the membership was reached; none while it was not. */

export function notePendingFull(from: string, dropped: number): readonly Event[] {
    const fields = { from, dropped };
    return dropped > 0 ? [{ name: "membership.pendingFull", level: EventLevel.Warn, fields }] : [];
}

/** Tombstones that went before their time went because there were too many. */
export function noteTombstonesFull(before: HostTable, after: HostTable, now: number): readonly Event[] {
    const early = [...before.since].filter(
        ([host, at]) => !after.since.has(host) && now - at < tombstoneTtlMs,
    );
    const fields = { dropped: early.length };
    return early.length > 0 ? [{ name: "membership.tombstonesFull", level: EventLevel.Warn, fields }] : [];
}

export function noteRepairLimited(
    from: string,
    digests: { readonly ours: readonly number[]; readonly theirs: readonly number[] },
    repaired: number,
): readonly Event[] {
    const differing = digests.ours.filter((hash, bucket) => hash !== digests.theirs[bucket]).length;
    const fields = { from, differing, repaired };
    return repaired < differing
        ? [{ name: "membership.repairLimited", level: EventLevel.Debug, fields }]
        : [];
}
