import type { HostRecord } from "@tanagertray/core";
import type { Board } from "../../board.js";

/** Lists all known hosts, sorted by name. This host's record gets its current configuration version. */
export function listKnownHosts(board: Board): readonly HostRecord[] {
    const { self, records } = board.read("membership");
    const version = board.read("configuration").held?.manifest.version ?? 0;
    const others = [...records.values()].filter(record => record.host !== self.host);
    return [{ ...self, version }, ...others].sort((a, b) => (a.host < b.host ? -1 : 1));
}
