import { chooseTopology } from "@tanagertray/core";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";

/** Derives the roles and neighbours of this host from the membership. */
export function createTopology(board: Board): Closeable {
    const topology = board.claimValue("topology");
    let composition = -1;
    const choose = () => {
        const membership = board.read("membership");
        if (membership.composition !== composition) {
            composition = membership.composition;
            topology.write(chooseTopology(membership.self, membership.records.values()));
        }
    };
    choose();
    const subscription = board.observe(["membership"], choose);
    return { close: () => subscription.close() };
}
