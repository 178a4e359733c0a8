import type { ConfigurationState, HeldConfiguration } from "../configuration/heldConfiguration.js";
import type { Interest } from "../configuration/interest.js";
import type { Manifest } from "../configuration/manifest.js";
import { objectStoreFallbackDelayMs } from "../constants.js";
import type { IncomingMessage, OutgoingMessage, UpdateStep } from "../messages/peerMessage.js";
import type { Event } from "../telemetry/event.js";
import { noKeptSteps, type KeptSteps } from "./keptSteps.js";

export const Spread = {
    /** Pushes a new version at once: shortest convergence time. */
    Eager: "eager",
    /** Announces a new version and lets each neighbour pull it once: fewest control bytes. */
    Lazy: "lazy",
} as const;
export type Spread = (typeof Spread)[keyof typeof Spread];

export interface Link {
    readonly host: string;
    readonly region: string;
}

/** A version that is known to exist. */
export interface VersionIdentity {
    readonly version: number;
    readonly manifestHash: string;
}

/** The accepted version, with the changes that the head row still names, newest first. */
export interface AcceptedVersion extends VersionIdentity {
    readonly history?: readonly VersionIdentity[];
}

/** A version whose manifest was checked and whose parts are being gathered. */
export interface Candidate extends VersionIdentity {
    readonly manifest: Manifest;
    /** Steps from the held version, when the version came as such. */
    readonly steps: readonly UpdateStep[];
    /** Verified parts by hash. */
    readonly parts: ReadonlyMap<string, Uint8Array>;
    /** Host that sent the manifest; `undefined` when it was read from the object store. */
    readonly from: string | undefined;
    /** Parts that this host does not need but forwards; once the object store has failed, they no longer hold up the version. */
    readonly forwarded: ReadonlySet<string>;
}

/**
 * Where a request went. An idle one waits until its sources are tried again, a waiting one for a peer that holds
 * the version before it turns to the object store.
 */
export const SourceKind = { Peer: "peer", Store: "store", Idle: "idle", Waiting: "waiting" } as const;
export type SourceKind = (typeof SourceKind)[keyof typeof SourceKind];

export interface Fetch {
    readonly source: SourceKind;
    readonly host?: string;
    /** Milliseconds since the epoch. */
    readonly sentAt: number;
    readonly tried: ReadonlySet<string>;
}

/** A pull, or the read of a manifest, for one target. */
export interface TargetFetch extends Fetch {
    readonly target: VersionIdentity;
}

export interface Distribution {
    readonly spread: Spread;
    /** Longest wait of a host without a version before it reads the object store, in milliseconds. */
    readonly patienceMs: number;
    readonly region: string;
    readonly interest: Interest;
    /** Lowest version that may be put in force. */
    readonly floor: number;
    readonly links: ReadonlyMap<string, Link>;
    /** Version that each linked host reported, or that was sent to it since. */
    readonly known: ReadonlyMap<string, number>;
    readonly held: HeldConfiguration | undefined;
    readonly kept: KeptSteps;
    readonly target: VersionIdentity | undefined;
    /** Accepted versions that the last head row named, newest first. */
    readonly accepted: readonly VersionIdentity[];
    readonly targetFetch: TargetFetch | undefined;
    readonly candidate: Candidate | undefined;
    readonly partFetches: ReadonlyMap<string, Fetch>;
    readonly rejected: ConfigurationState["rejected"];
    /** Manifest hashes of refused versions, oldest first. */
    readonly rejectedHashes: readonly string[];
    /** Start of each snapshot in progress, by host. */
    readonly snapshots: ReadonlyMap<string, number>;
    readonly waitingSnapshots: ReadonlySet<string>;
}

export interface DistributionOptions {
    spread: Spread;
    region: string;
    interest: Interest;
    /** @default objectStoreFallbackDelayMs */
    patienceMs?: number;
    /** @default undefined */
    held?: HeldConfiguration;
}

export function createDistribution(options: DistributionOptions): Distribution {
    return {
        spread: options.spread,
        patienceMs: options.patienceMs ?? objectStoreFallbackDelayMs,
        region: options.region,
        interest: options.interest,
        floor: 0,
        links: new Map(),
        known: new Map(),
        held: options.held,
        kept: noKeptSteps,
        target: undefined,
        accepted: [],
        targetFetch: undefined,
        candidate: undefined,
        partFetches: new Map(),
        rejected: undefined,
        rejectedHashes: [],
        snapshots: new Map(),
        waitingSnapshots: new Set(),
    };
}

export const InputKind = {
    Message: "message",
    Head: "head",
    StoredObject: "storedObject",
    Links: "links",
    Interest: "interest",
    Floor: "floor",
    Tick: "tick",
} as const;
export type InputKind = (typeof InputKind)[keyof typeof InputKind];

export type DistributionInput =
    | { readonly kind: typeof InputKind.Message; readonly incoming: IncomingMessage }
    | { readonly kind: typeof InputKind.Head; readonly head: AcceptedVersion }
    /** Without bytes, the object store did not serve the object. */
    | {
          readonly kind: typeof InputKind.StoredObject;
          readonly hash: string;
          readonly bytes?: Uint8Array;
          readonly related?: ReadonlyMap<string, Uint8Array>;
      }
    | { readonly kind: typeof InputKind.Links; readonly links: ReadonlyMap<string, Link> }
    | { readonly kind: typeof InputKind.Interest; readonly interest: Interest }
    | { readonly kind: typeof InputKind.Floor; readonly floor: number }
    | { readonly kind: typeof InputKind.Tick };

/** What the controller has to do after an input. */
export interface Effects {
    readonly messages: OutgoingMessage[];
    /** Hashes of the objects to read from the object store. */
    readonly reads: string[];
    readonly events: Event[];
}

/** Time, randomness and the effects of the input in progress. */
export interface Context {
    /** Milliseconds since the epoch. */
    readonly now: number;
    /** From 0 inclusive to 1 exclusive. */
    readonly random: () => number;
    readonly effects: Effects;
}

export function heldVersion(state: Distribution): number {
    return state.held?.manifest.version ?? 0;
}

/** Whether a version may still replace the held one. */
export function isWanted(state: Distribution, target: VersionIdentity): boolean {
    return (
        target.version > heldVersion(state) &&
        target.version >= state.floor &&
        !state.rejectedHashes.includes(target.manifestHash)
    );
}
