import type { Manifest, ManifestEntry } from "../configuration/manifest.js";
import type { ResourceName } from "../configuration/resource.js";
import type { HostDeparture, HostRecord } from "../membership/record.js";

/** Messages between daemons. Only the peer adapter knows how they are encoded. */

export const MessageKind = {
    Heartbeat: "heartbeat",
    HeadRead: "headRead",
    Records: "records",
    Digest: "digest",
    RecordRequest: "recordRequest",
    Announce: "announce",
    Update: "update",
    Pull: "pull",
    Snapshot: "snapshot",
    PartRequest: "partRequest",
    Parts: "parts",
    WatermarkRequest: "watermarkRequest",
    Watermark: "watermark",
    FateRequest: "fateRequest",
    Fate: "fate",
} as const;
export type MessageKind = (typeof MessageKind)[keyof typeof MessageKind];

/** The bytes of one resource and their hash. */
export interface Part {
    readonly hash: string;
    readonly bytes: Uint8Array;
}

/** Difference between the manifests of two consecutive versions. */
export interface ManifestDelta {
    readonly changed: Readonly<Record<ResourceName, ManifestEntry>>;
    readonly removed: readonly ResourceName[];
}

/** The change from one version to the next. */
export interface UpdateStep {
    readonly base: number;
    readonly version: number;
    /** Hash of the complete manifest after the step. */
    readonly manifestHash: string;
    readonly delta: ManifestDelta;
}

export interface Heartbeat {
    readonly kind: typeof MessageKind.Heartbeat;
    readonly version: number;
    readonly manifestHash: string;
}

/** Reports that the platform has answered a read of the head row by the sender. */
export interface HeadRead {
    readonly kind: typeof MessageKind.HeadRead;
}

export interface Records {
    readonly kind: typeof MessageKind.Records;
    readonly records: readonly HostRecord[];
}

/** Hash of the host records in each bucket, for anti-entropy. */
export interface Digest {
    readonly kind: typeof MessageKind.Digest;
    readonly buckets: readonly number[];
}

/** Requests the host records of the buckets that differ. */
export interface RecordRequest {
    readonly kind: typeof MessageKind.RecordRequest;
    readonly buckets: readonly number[];
}

export interface Announce {
    readonly kind: typeof MessageKind.Announce;
    readonly version: number;
    readonly manifestHash: string;
}

/** Consecutive steps, oldest first, with the parts that they introduce. */
export interface Update {
    readonly kind: typeof MessageKind.Update;
    readonly steps: readonly UpdateStep[];
    readonly parts: readonly Part[];
}

/** Requests the update from the held version to the newest one. */
export interface Pull {
    readonly kind: typeof MessageKind.Pull;
    readonly held: number;
}

export interface Snapshot {
    readonly kind: typeof MessageKind.Snapshot;
    readonly manifest: Manifest;
    readonly manifestHash: string;
    readonly parts: readonly Part[];
}

export interface PartRequest {
    readonly kind: typeof MessageKind.PartRequest;
    readonly hashes: readonly string[];
}

export interface PartsMessage {
    readonly kind: typeof MessageKind.Parts;
    readonly parts: readonly Part[];
    /** Hashes that the sender does not hold. */
    readonly missing: readonly string[];
}

export interface WatermarkRequest {
    readonly kind: typeof MessageKind.WatermarkRequest;
    readonly host: string;
}

/** Highest version and incarnation that the sender has seen of `host`, and the version that the sender itself holds. */
export interface Watermark {
    readonly kind: typeof MessageKind.Watermark;
    readonly host: string;
    readonly version: number;
    readonly incarnation: number;
    /** Backend servers that recently left the host. */
    readonly departures?: readonly HostDeparture[];
    readonly held: number;
}

export interface FateRequest {
    readonly kind: typeof MessageKind.FateRequest;
    readonly callId: string;
}

export const CallFate = {
    /** Not admitted so far, and from now on refused if it arrives. */
    Barred: "barred",
    Running: "running",
    Finished: "finished",
} as const;
export type CallFate = (typeof CallFate)[keyof typeof CallFate];

export interface Fate {
    readonly kind: typeof MessageKind.Fate;
    readonly callId: string;
    readonly fate: CallFate;
    /** Incarnation of the answering daemon. Only the incarnation that the call was sent to can know its fate. */
    readonly incarnation: number;
}

export type PeerMessage =
    | Heartbeat
    | HeadRead
    | Records
    | Digest
    | RecordRequest
    | Announce
    | Update
    | Pull
    | Snapshot
    | PartRequest
    | PartsMessage
    | WatermarkRequest
    | Watermark
    | FateRequest
    | Fate;

/** A message to one host, or to every linked host except those listed. */
export interface OutgoingMessage {
    readonly to: { readonly host: string } | { readonly allBut: readonly string[] };
    readonly message: PeerMessage;
}

export interface IncomingMessage {
    readonly from: string;
    /** Milliseconds since the epoch. */
    readonly receivedAt: number;
    readonly message: PeerMessage;
}
