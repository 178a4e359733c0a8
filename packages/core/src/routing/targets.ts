import { HostState, type HostRecord, type Location } from "../membership/record.js";

export const Tier = {
    OwnHost: "ownHost",
    OwnFailureDomain: "ownFailureDomain",
    OwnRegion: "ownRegion",
    OtherRegions: "otherRegions",
} as const;
export type Tier = (typeof Tier)[keyof typeof Tier];

/** All tiers, the nearest first. */
export const tiersByDistance: readonly Tier[] = [
    Tier.OwnHost,
    Tier.OwnFailureDomain,
    Tier.OwnRegion,
    Tier.OtherRegions,
];

/** A host that offers a service. */
export interface Target {
    readonly host: string;
    readonly address: string;
    readonly incarnation: number;
    readonly slots: number;
    readonly startedAt: number;
    /** Whether a neighbour has lost contact with the host. */
    readonly isSuspect: boolean;
}

export type ServiceTargets = Readonly<Record<Tier, readonly Target[]>>;

const usableStates: ReadonlySet<string> = new Set([HostState.Alive, HostState.Suspect]);

export function tierOf(self: Location, other: Location): Tier {
    if (other.host === self.host) {
        return Tier.OwnHost;
    }
    if (other.failureDomain === self.failureDomain) {
        return Tier.OwnFailureDomain;
    }
    return other.region === self.region ? Tier.OwnRegion : Tier.OtherRegions;
}

/** Groups the alive and suspect hosts that offer each service by their tier, as seen from `self`. */
export function findTargets(
    self: Location,
    records: Iterable<HostRecord>,
): ReadonlyMap<string, ServiceTargets> {
    const targetsByService = new Map<string, Record<Tier, Target[]>>();
    for (const record of records) {
        if (!usableStates.has(record.state)) {
            continue;
        }
        for (const offer of record.offers) {
            const tiers = targetsByService.get(offer.service) ?? emptyTiers();
            targetsByService.set(offer.service, tiers);
            tiers[tierOf(self, record)].push({
                host: record.host,
                address: record.peerAddress,
                incarnation: record.incarnation,
                slots: offer.slots,
                startedAt: offer.startedAt,
                isSuspect: record.state === HostState.Suspect,
            });
        }
    }
    return targetsByService;
}

function emptyTiers(): Record<Tier, Target[]> {
    return {
        [Tier.OwnHost]: [],
        [Tier.OwnFailureDomain]: [],
        [Tier.OwnRegion]: [],
        [Tier.OtherRegions]: [],
    };
}
