import { compareRecords } from "./order.js";
import type { HostRecord } from "./record.js";

export interface RelayInput {
    /** Records received since the last relay, by sender. */
    readonly received: ReadonlyMap<string, readonly HostRecord[]>;
    /** Received records that changed the host table, by host name; the newest one of each host. */
    readonly updates: ReadonlyMap<string, HostRecord>;
}

/** Records to send to each linked host. */
export interface RelayPlan {
    /** Records for each sender, without those that it sent itself. */
    readonly toSenders: ReadonlyMap<string, readonly HostRecord[]>;
    /** Records for all other linked hosts. */
    readonly toOthers: readonly HostRecord[];
}

/**
 * Combines the records from several senders into one message for each link. With one message for each sender, hosts that
 * started at once sent several messages over each link in every tick, often with records that the receiver had sent.
 */
export function planRelay({ received, updates }: RelayInput): RelayPlan {
    const toSenders = new Map<string, readonly HostRecord[]>();
    for (const [sender, records] of received) {
        const sentRecords = records.filter(record => isSameRecord(record, updates.get(record.host)));
        const sentHosts = new Set(sentRecords.map(({ host }) => host));
        const unsent = [...updates.values()].filter(({ host }) => !sentHosts.has(host));
        if (unsent.length > 0) {
            toSenders.set(sender, unsent);
        }
    }
    return { toSenders, toOthers: [...updates.values()] };
}

function isSameRecord(record: HostRecord, update: HostRecord | undefined): boolean {
    return update !== undefined && compareRecords(record, update) === 0;
}
