import type { FleetHost, Trouble } from "./fleetModel.js";

const silenceMs = 3_000;
const longestReopenMs = 1_000;

/** The links of a fleet: all within a domain, and between domains those of the first two hosts of each. */
export function createFleetLinks(hosts: readonly FleetHost[], trouble: Trouble, random: () => number) {
    const pairs = hosts.flatMap((a, i) =>
        hosts
            .slice(i + 1)
            .filter(b => a.domain === b.domain || !(a.name + b.name).includes("2"))
            .map(b => [a, b] as const),
    );
    const blockedSince = new Map<string, number>();
    const reopenAt = new Map<string, number>();
    const open = new Set<string>();

    const keyOf = (a: FleetHost, b: FleetHost) => [a.name, b.name].sort().join("-");
    const isCut = (a: FleetHost, b: FleetHost) =>
        trouble.silent.has(keyOf(a, b)) || [...trouble.cuts].some(cut => cut(a, b) || cut(b, a));

    function close(key: string): void {
        open.delete(key);
        trouble.silent.delete(key);
        reopenAt.delete(key);
    }

    function reopen(key: string, now: number): void {
        const at = reopenAt.get(key) ?? now + random() * longestReopenMs;
        reopenAt.set(key, at);
        if (now >= at) {
            open.add(key);
        }
    }

    return {
        carries: (from: FleetHost, to: FleetHost) =>
            from.downSince === undefined && !isCut(from, to) && open.has(keyOf(from, to)),
        peersOf: (host: FleetHost) =>
            pairs
                .filter(pair => pair.includes(host) && open.has(keyOf(...pair)))
                .map(([a, b]) => (a === host ? b : a)),
        /** A dead process closes its links at once, a silent one after the heartbeat deadline. */
        update(now: number): void {
            for (const [a, b] of pairs) {
                const key = keyOf(a, b);
                const isDown = a.downSince !== undefined || b.downSince !== undefined;
                const isSilent = isCut(a, b) || a.pausedAt !== undefined || b.pausedAt !== undefined;
                const since = blockedSince.get(key) ?? now;
                if (isDown || isSilent) {
                    blockedSince.set(key, since);
                } else {
                    blockedSince.delete(key);
                }
                if (isDown || (isSilent && now >= since + silenceMs)) {
                    close(key);
                } else if (!isSilent && !open.has(key)) {
                    reopen(key, now);
                }
            }
        },
    };
}
