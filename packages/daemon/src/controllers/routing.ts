import { findTargets, type HostRecord } from "@tanagertray/core";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";
import { ownOffers } from "./advertisement.js";

/** Derives the hosts that offer each service from the host records. */
export function createRouting(board: Board): Closeable {
    const targets = board.claimValue("targets");
    let lastInputs: readonly unknown[] = [];

    /** Skips membership changes that do not affect the targets, such as heartbeats. */
    function updateIfChanged(): void {
        const { self, records } = board.read("membership");
        const inputs = [self, records, board.read("configuration").held, board.read("backendServers")];
        if (inputs.some((input, index) => input !== lastInputs[index])) {
            lastInputs = inputs;
            writeTargets(self, records);
        }
    }

    function writeTargets(self: HostRecord, records: ReadonlyMap<string, HostRecord>): void {
        // Uses this host's backend servers immediately, before its record is published.
        const others = [...records.values()].filter(record => record.host !== self.host);
        targets.write(findTargets(self, [...others, { ...self, offers: ownOffers(board) }]));
    }

    updateIfChanged();
    const subscription = board.observe(["membership", "configuration", "backendServers"], updateIfChanged);
    return { close: () => subscription.close() };
}
