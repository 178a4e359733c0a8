import type { ConfigurationState, HeldConfiguration } from "../configuration/heldConfiguration.js";
import type { Interest } from "../configuration/interest.js";
import type { Manifest } from "../configuration/manifest.js";
import { objectStoreFallbackDelayMs } from "../constants.js";
import type { IncomingMessage, OutgoingMessage, UpdateStep } from "../messages/peerMessage.js";
import type { Event } from "../telemetry/event.js";
import { emptyUpdateLog, type UpdateLog } from "./updateLog.js";

export const Spread = {
    /** Pushes a new version immediately, for the shortest convergence time. */
    Eager: "eager",
    /** Announces a new version and lets each neighbour pull it once, for the fewest control bytes. */
    Lazy: "lazy",
} as const;
export type Spread = (typeof Spread)[keyof typeof Spread];

export interface Link {
    readonly host: string;
    readonly region: string;
}

/** Identifies a version by its number and the hash of its manifest. */
export interface VersionIdentity {
    readonly version: number;
    readonly manifestHash: string;
}

/** The accepted version, with the recent versions that the head row lists, newest first. */
export interface AcceptedVersion extends VersionIdentity {
    readonly history?: readonly VersionIdentity[];
}

/** A version whose manifest is validated and whose parts are being collected. */
export interface Candidate extends VersionIdentity {
    readonly manifest: Manifest;
    /** Steps from the held version; empty when the manifest came complete. */
    readonly steps: readonly UpdateStep[];
    /** Verified parts by hash. */
    readonly parts: ReadonlyMap<string, Uint8Array>;
    /** Host that sent the manifest; `undefined` when it was read from the object store. */
    readonly from: string | undefined;
    /** Parts fetched for neighbours. One that the object store fails to serve no longer delays the version. */
    readonly forwarded: ReadonlySet<string>;
}

/**
 * Where a request was sent. `Backoff` waits until all sources are tried again; `PeerWait` gives peers time to obtain
 * the version before this host reads it from the object store.
 */
export const SourceKind = { Peer: "peer", Store: "store", Backoff: "idle", PeerWait: "waiting" } as const;
export type SourceKind = (typeof SourceKind)[keyof typeof SourceKind];

export interface Fetch {
    readonly source: SourceKind;
    readonly host?: string;
    /** Milliseconds since the epoch; in state `PeerWait` the end of the wait. */
    readonly sentAt: number;
    readonly triedHosts: ReadonlySet<string>;
}

/** A pull from a peer or a manifest read from the object store, for one target version. */
export interface TargetFetch extends Fetch {
    readonly target: VersionIdentity;
}

export interface Distribution {
    readonly spread: Spread;
    /** Longest wait of a host without a version before it reads the object store, in milliseconds. */
    readonly patienceMs: number;
    readonly region: string;
    readonly interest: Interest;
    /** Lowest version that may be applied. */
    readonly floor: number;
    readonly links: ReadonlyMap<string, Link>;
    /** Version that each linked host last reported, or that was sent to it since. */
    readonly peerVersions: ReadonlyMap<string, number>;
    readonly held: HeldConfiguration | undefined;
    readonly updateLog: UpdateLog;
    readonly target: VersionIdentity | undefined;
    /** Accepted versions listed in the newest head row, newest first. */
    readonly accepted: readonly VersionIdentity[];
    readonly targetFetch: TargetFetch | undefined;
    readonly candidate: Candidate | undefined;
    readonly partFetches: ReadonlyMap<string, Fetch>;
    readonly rejected: ConfigurationState["rejected"];
    /** Manifest hashes of permanently rejected versions, oldest first. */
    readonly rejectedHashes: readonly string[];
    /** Start time of each snapshot in progress, by host. */
    readonly snapshotsInProgress: ReadonlyMap<string, number>;
    /** Hosts whose snapshot has not been started. */
    readonly queuedSnapshots: ReadonlySet<string>;
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
        peerVersions: new Map(),
        held: options.held,
        updateLog: emptyUpdateLog,
        target: undefined,
        accepted: [],
        targetFetch: undefined,
        candidate: undefined,
        partFetches: new Map(),
        rejected: undefined,
        rejectedHashes: [],
        snapshotsInProgress: new Map(),
        queuedSnapshots: new Set(),
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
    /** `bytes` is absent when the object store did not serve the object. */
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

/** Side effects that the controller carries out after an input. */
export interface Effects {
    readonly messages: OutgoingMessage[];
    /** Hashes of the objects to read from the object store. */
    readonly reads: string[];
    readonly events: Event[];
}

/** Time, randomness and collected effects while one input is processed. */
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

/** Whether a version is newer than the held one, not below the floor and not rejected. */
export function canReplaceHeld(state: Distribution, target: VersionIdentity): boolean {
    return (
        target.version > heldVersion(state) &&
        target.version >= state.floor &&
        !state.rejectedHashes.includes(target.manifestHash)
    );
}
