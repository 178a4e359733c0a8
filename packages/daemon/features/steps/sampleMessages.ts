import { CallFate, HostState, MessageKind, type HostRecord, type PeerMessage } from "@tanagertray/core";

const hostRecord: HostRecord = {
    host: "a1",
    failureDomain: "a",
    region: "r1",
    incarnation: 1_700_000_000_000,
    counter: 3,
    state: HostState.Alive,
    peerAddress: "127.0.0.1:1",
    offers: [{ service: "stock", slots: 12, startedAt: 1 }],
    version: 4,
    rejected: { version: 3, reason: "dangling reference" },
};

const part = { hash: "abc", bytes: new Uint8Array([1, 2, 3]) };
const entry = { hash: "abc", references: ["service/stock"], neededBy: ["*"] };
const delta = { changed: { "route/stock": entry }, removed: ["route/old"] };
const steps = [{ base: 1, version: 2, manifestHash: "h", delta }];
const manifest = { version: 2, entries: { "route/stock": entry } };

/** One sample message of each kind. */
export const sampleMessages: { [K in MessageKind]: Extract<PeerMessage, { kind: K }> } = {
    heartbeat: { kind: MessageKind.Heartbeat, version: 1, manifestHash: "h" },
    headRead: { kind: MessageKind.HeadRead },
    records: { kind: MessageKind.Records, records: [hostRecord] },
    digest: { kind: MessageKind.Digest, buckets: [1, 0xffff_ffff] },
    recordRequest: { kind: MessageKind.RecordRequest, buckets: [0, 63] },
    announce: { kind: MessageKind.Announce, version: 1, manifestHash: "h" },
    update: { kind: MessageKind.Update, steps, parts: [part] },
    pull: { kind: MessageKind.Pull, held: 0 },
    snapshot: { kind: MessageKind.Snapshot, manifest, manifestHash: "h", parts: [part] },
    partRequest: { kind: MessageKind.PartRequest, hashes: ["abc"] },
    parts: { kind: MessageKind.Parts, parts: [part], missing: ["def"] },
    watermarkRequest: { kind: MessageKind.WatermarkRequest, host: "a1" },
    watermark: { kind: MessageKind.Watermark, host: "a1", version: 1, incarnation: 2, held: 3 },
    fateRequest: { kind: MessageKind.FateRequest, callId: "c" },
    fate: { kind: MessageKind.Fate, callId: "c", fate: CallFate.Barred, incarnation: 1 },
};
