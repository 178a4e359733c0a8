import { compareRecords } from "./order.js";
import type { HostRecord } from "./record.js";

export interface RelayOptions {
    /** Records received since the last relay, by the host that sent them. */
    readonly received: ReadonlyMap<string, readonly HostRecord[]>;
    /** Those that were news here, the newest of each host. */
    readonly news: ReadonlyMap<string, HostRecord>;
}

/** What each linked host has yet to hear. */
export interface Relay {
    /** For the hosts that sent something, without what they sent themselves. */
    readonly toSenders: ReadonlyMap<string, readonly HostRecord[]>;
    /** For all other linked hosts. */
    readonly toOthers: readonly HostRecord[];
}

/**
 * Puts what several hosts sent into one message for each link. A message for each sender instead made a herd of
 * starting hosts send several messages over each link in every tick, many of them with what the other side had sent.
 */
export function planRelay({ received, news }: RelayOptions): Relay {
    const toSenders = new Map<string, readonly HostRecord[]>();
    for (const [sender, records] of received) {
        const known = records.filter(record => isSame(record, news.get(record.host)));
        const sent = new Set(known.map(({ host }) => host));
        const rest = [...news.values()].filter(({ host }) => !sent.has(host));
        if (rest.length > 0) {
            toSenders.set(sender, rest);
        }
    }
    return { toSenders, toOthers: [...news.values()] };
}

function isSame(record: HostRecord, news: HostRecord | undefined): boolean {
    return news !== undefined && compareRecords(record, news) === 0;
}
