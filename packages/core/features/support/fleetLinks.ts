import type { FleetHost, InjectedFaults } from "./fleetModel.js";

const silentLinkTimeoutMs = 3_000;
const maxReconnectDelayMs = 1_000;

/** Links between all hosts of a failure domain, and between the first two hosts of each domain and those of the others. */
export function createFleetLinks(
    hosts: readonly FleetHost[],
    injected: InjectedFaults,
    random: () => number,
) {
    const pairs = hosts.flatMap((a, i) =>
        hosts
            .slice(i + 1)
            .filter(b => a.domain === b.domain || !(a.name + b.name).includes("2"))
            .map(b => [a, b] as const),
    );
    const blockedSince = new Map<string, number>();
    const reopenAt = new Map<string, number>();
    const openLinks = new Set<string>();

    const keyOf = (a: FleetHost, b: FleetHost) => [a.name, b.name].sort().join("-");
    const isBlocked = (a: FleetHost, b: FleetHost) =>
        injected.silent.has(keyOf(a, b)) ||
        [...injected.blockedPairs].some(blocks => blocks(a, b) || blocks(b, a));

    function close(key: string): void {
        openLinks.delete(key);
        injected.silent.delete(key);
        reopenAt.delete(key);
    }

    function reopen(key: string, now: number): void {
        const at = reopenAt.get(key) ?? now + random() * maxReconnectDelayMs;
        reopenAt.set(key, at);
        if (now >= at) {
            openLinks.add(key);
        }
    }

    return {
        canDeliver: (from: FleetHost, to: FleetHost) =>
            from.downSince === undefined && !isBlocked(from, to) && openLinks.has(keyOf(from, to)),
        peersOf: (host: FleetHost) =>
            pairs
                .filter(pair => pair.includes(host) && openLinks.has(keyOf(...pair)))
                .map(([a, b]) => (a === host ? b : a)),
        /** A dead process closes its links immediately, a silent one after the heartbeat timeout. */
        update(now: number): void {
            for (const [a, b] of pairs) {
                const key = keyOf(a, b);
                const isDown = a.downSince !== undefined || b.downSince !== undefined;
                const isSilent = isBlocked(a, b) || a.pausedAt !== undefined || b.pausedAt !== undefined;
                const since = blockedSince.get(key) ?? now;
                if (isDown || isSilent) {
                    blockedSince.set(key, since);
                } else {
                    blockedSince.delete(key);
                }
                if (isDown || (isSilent && now >= since + silentLinkTimeoutMs)) {
                    close(key);
                } else if (!isSilent && !openLinks.has(key)) {
                    reopen(key, now);
                }
            }
        },
    };
}
