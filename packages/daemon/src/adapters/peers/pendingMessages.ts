import type { PeerMessage } from "@tanagertray/core";

/** Limit of the hosts with pending messages. */
const maxPendingHosts = 64;
/** Limit of the pending messages for one host. */
const maxPendingPerHost = 64;
/** Time after which the pending messages for a host are dropped, in milliseconds. */
const maxPendingMs = 3_000;

interface PendingForHost {
    readonly since: number;
    readonly messages: PeerMessage[];
}

/** Messages to hosts without a link, queued until a link to the host opens. */
export interface PendingMessages {
    /** Returns `false` when a limit is reached. */
    add(host: string, message: PeerMessage, now: number): boolean;
    /** Removes and returns the pending messages for a host. */
    take(host: string): readonly PeerMessage[];
    hosts(): readonly string[];
    /** Drops the messages that have been pending too long and returns their hosts. */
    expire(now: number): readonly string[];
}

export function createPendingMessages(): PendingMessages {
    const pendingByHost = new Map<string, PendingForHost>();
    return {
        add(host, message, now) {
            const entry = pendingByHost.get(host) ?? { since: now, messages: [] };
            const full = !pendingByHost.has(host) && pendingByHost.size >= maxPendingHosts;
            if (full || entry.messages.length >= maxPendingPerHost) {
                return false;
            }
            entry.messages.push(message);
            pendingByHost.set(host, entry);
            return true;
        },
        take(host) {
            const entry = pendingByHost.get(host);
            pendingByHost.delete(host);
            return entry?.messages ?? [];
        },
        hosts: () => [...pendingByHost.keys()],
        expire(now) {
            const expired = [...pendingByHost]
                .filter(([, { since }]) => now - since >= maxPendingMs)
                .map(([host]) => host);
            expired.forEach(host => pendingByHost.delete(host));
            return expired;
        },
    };
}
