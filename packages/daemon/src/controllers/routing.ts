import { findTargets, type HostRecord } from "@tanagertray/core";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";
import { ownOffers } from "./advertisement.js";

/** Writes the hosts that offer each service, from the records of the hosts. */
export function createRouting(board: Board): Closeable {
    const targets = board.claimValue("targets");
    let seen: readonly unknown[] = [];

    /** The membership also changes with each heartbeat, which moves no target. */
    function findWhenChanged(): void {
        const { self, records } = board.read("membership");
        const inputs = [self, records, board.read("configuration").held, board.read("backendServers")];
        if (inputs.some((input, at) => input !== seen[at])) {
            seen = inputs;
            findAll(self, records);
        }
    }

    function findAll(self: HostRecord, records: ReadonlyMap<string, HostRecord>): void {
        // Own backend servers count at once, before the record of this host is published.
        const others = [...records.values()].filter(record => record.host !== self.host);
        targets.write(findTargets(self, [...others, { ...self, offers: ownOffers(board) }]));
    }

    findWhenChanged();
    const subscription = board.observe(["membership", "configuration", "backendServers"], findWhenChanged);
    return { close: () => subscription.close() };
}
