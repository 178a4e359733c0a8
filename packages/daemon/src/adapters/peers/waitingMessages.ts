import type { PeerMessage } from "@tanagertray/core";

/** Hosts for which messages may wait at once. */
const maxWaitingHosts = 64;
/** Messages that may wait for one host. */
const maxWaitingPerHost = 64;
/** Time for which a message waits for a link, in milliseconds. */
const waitMs = 3_000;

interface Waiting {
    readonly since: number;
    readonly messages: PeerMessage[];
}

/** Messages to hosts without a link, until the link that was asked for opens. */
export interface WaitingMessages {
    /** `false` when too many wait. */
    add(host: string, message: PeerMessage, now: number): boolean;
    /** Removes and returns what waits for a host. */
    take(host: string): readonly PeerMessage[];
    hosts(): readonly string[];
    /** Drops what has waited too long and returns the hosts. */
    expire(now: number): readonly string[];
}

export function createWaitingMessages(): WaitingMessages {
    const waiting = new Map<string, Waiting>();
    return {
        add(host, message, now) {
            const entry = waiting.get(host) ?? { since: now, messages: [] };
            const full = !waiting.has(host) && waiting.size >= maxWaitingHosts;
            if (full || entry.messages.length >= maxWaitingPerHost) {
                return false;
            }
            entry.messages.push(message);
            waiting.set(host, entry);
            return true;
        },
        take(host) {
            const entry = waiting.get(host);
            waiting.delete(host);
            return entry?.messages ?? [];
        },
        hosts: () => [...waiting.keys()],
        expire(now) {
            const expired = [...waiting]
                .filter(([, { since }]) => now - since >= waitMs)
                .map(([host]) => host);
            expired.forEach(host => waiting.delete(host));
            return expired;
        },
    };
}
