import { chooseTopology } from "@tanagertray/core";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";

/** Derives the roles and neighbours of this host from the membership, whenever its composition changes. */
export function createTopology(board: Board): Closeable {
    const topology = board.claimValue("topology");
    let lastComposition = -1;
    const updateTopology = () => {
        const membership = board.read("membership");
        if (membership.compositionChanges !== lastComposition) {
            lastComposition = membership.compositionChanges;
            topology.write(chooseTopology(membership.self, membership.records.values()));
        }
    };
    updateTopology();
    const subscription = board.observe(["membership"], updateTopology);
    return { close: () => subscription.close() };
}
