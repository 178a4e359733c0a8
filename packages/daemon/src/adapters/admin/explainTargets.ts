import { HostState, type HostRecord } from "@tanagertray/core";
import type { Board } from "../../board.js";

export interface TargetTier {
    readonly tier: string;
    readonly hosts: readonly string[];
}

type InTier = (record: HostRecord, self: HostRecord) => boolean;

/** Tiers in the order in which a call tries them. */
const tiers: readonly { readonly tier: string; readonly holds: InTier }[] = [
    { tier: "failure domain", holds: (record, self) => record.failureDomain === self.failureDomain },
    {
        tier: "region",
        holds: (record, self) => record.region === self.region && record.failureDomain !== self.failureDomain,
    },
    { tier: "other regions", holds: (record, self) => record.region !== self.region },
];

/**
 * Lists the hosts that offer a service, by tier, from the host records and the local announcements.
 * A section with the candidates that routing uses would replace this derivation.
 */
export function describeTargets(board: Board, service: string): readonly TargetTier[] {
    const { self, records } = board.read("membership");
    const local = [...board.read("backendServers").values()].some(server => server.service === service);
    const offering = [...records.values()].filter(
        record =>
            record.host !== self.host &&
            record.state === HostState.Alive &&
            record.offers.some(offer => offer.service === service),
    );
    const all = local ? [self, ...offering] : offering;
    return tiers.map(({ tier, holds }) => ({
        tier,
        hosts: all.filter(record => holds(record, self)).map(record => record.host),
    }));
}
