import { chooseTopology, isSettled } from "@tanagertray/core";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";

/**
 * Derives the roles and neighbours of this host from the membership, whenever its composition changes. Until the host
 * has settled after its start, it has no neighbours, and no role but reading the head row.
 */
export function createTopology(board: Board): Closeable {
    const topology = board.claimValue("topology");
    const startedAt = board.read("clock").now;
    let linkedAt: number | undefined;
    let hasSettled = false;
    let lastComposition = -1;

    function settle(): void {
        const { now } = board.read("clock");
        const { self } = board.read("membership");
        const { failureDomain } = self;
        const links = [...board.read("peerLinks").values()];
        const isLinked = links.some(link => link.failureDomain === failureDomain);
        linkedAt = isLinked ? (linkedAt ?? now) : undefined;
        const listed = board.read("domainAddresses")?.get(failureDomain);
        const isListedAlone = listed?.every(address => address === self.peerAddress) ?? false;
        hasSettled = isSettled({ startedAt, linkedAt, isListedAlone, now });
        if (hasSettled) {
            settling.close();
            updateTopology();
        }
    }

    function updateTopology(): void {
        const membership = board.read("membership");
        if (hasSettled && membership.compositionChanges !== lastComposition) {
            lastComposition = membership.compositionChanges;
            topology.write(chooseTopology(membership.self, membership.records.values()));
        }
    }

    const settling = board.observe(["clock", "peerLinks"], settle);
    const subscription = board.observe(["membership"], updateTopology);
    return {
        close() {
            settling.close();
            subscription.close();
        },
    };
}
