import { Tier, tiersByDistance } from "@tanagertray/core";
import type { Board } from "../../board.js";

export interface TargetTier {
    readonly tier: string;
    readonly hosts: readonly string[];
}

const tierNames = {
    [Tier.OwnHost]: "own host",
    [Tier.OwnFailureDomain]: "failure domain",
    [Tier.OwnRegion]: "region",
    [Tier.OtherRegions]: "other regions",
} satisfies Record<Tier, string>;

/** Lists the hosts that offer a service by tier, in the order in which a call tries the tiers. */
export function describeTargets(board: Board, service: string): readonly TargetTier[] {
    const targets = board.read("targets").get(service);
    return tiersByDistance.map(tier => ({
        tier: tierNames[tier],
        hosts: targets?.[tier].map(target => target.host) ?? [],
    }));
}
