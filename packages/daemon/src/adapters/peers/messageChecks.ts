import {
    CallFate,
    digestBucketCount,
    HostState,
    maxDepartures,
    MessageKind,
    problem,
    ProblemCode,
    type HostDeparture,
    type HostRecord,
    type Manifest,
    type ManifestDelta,
    type ManifestEntry,
    type Part,
    type PeerMessage,
    type Problem,
    type ServiceOffer,
    type UpdateStep,
} from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import { bytes, integer, listOf, mapOf, objectOf, oneOf, optional, stringOf, type Check } from "./checks.js";
import {
    maxIncarnation,
    maxManifestEntries,
    maxNameLength,
    maxOffers,
    maxParts,
    maxReasonLength,
    maxRecordsPerMessage,
    maxReferences,
    maxUpdateSteps,
} from "./constants.js";

const name = stringOf(maxNameLength);
const names = listOf(name, maxReferences);
const incarnation = integer(maxIncarnation);
const buckets = listOf(integer(0xffff_ffff), digestBucketCount);
const hashes = listOf(name, maxParts);

const offer = objectOf<ServiceOffer>({ service: name, slots: integer(), startedAt: integer() });

const departures = optional(listOf(objectOf<HostDeparture>({ id: name, incarnation }), maxDepartures));

const hostRecord = objectOf<HostRecord>({
    host: name,
    failureDomain: name,
    region: name,
    incarnation,
    counter: integer(),
    state: oneOf(Object.values(HostState)),
    peerAddress: name,
    offers: listOf(offer, maxOffers),
    departures,
    version: integer(),
    rejected: optional(
        objectOf<NonNullable<HostRecord["rejected"]>>({
            version: integer(),
            reason: stringOf(maxReasonLength),
        }),
    ),
});

const parts = listOf(objectOf<Part>({ hash: name, bytes }), maxParts);
const entry = objectOf<ManifestEntry>({ hash: name, references: names, neededBy: names });
const entries = mapOf(name, entry, maxManifestEntries);
const delta = objectOf<ManifestDelta>({ changed: entries, removed: listOf(name, maxManifestEntries) });
const manifest = objectOf<Manifest>({ version: integer(), entries });
const step = objectOf<UpdateStep>({
    base: integer(),
    version: integer(),
    manifestHash: name,
    delta,
});

type MessageOf<K extends MessageKind> = Extract<PeerMessage, { kind: K }>;

/** Creates the check of one kind of message from the checks of its fields. */
function createMessageCheck<K extends MessageKind>(
    kind: K,
    fields: { [F in keyof Omit<MessageOf<K>, "kind">]-?: Check },
): Check {
    return objectOf<Record<string, unknown>>({ kind: oneOf([kind]), ...fields });
}

const messageChecks = {
    [MessageKind.Heartbeat]: createMessageCheck(MessageKind.Heartbeat, {
        version: integer(),
        manifestHash: name,
    }),
    [MessageKind.HeadRead]: createMessageCheck(MessageKind.HeadRead, {}),
    [MessageKind.Records]: createMessageCheck(MessageKind.Records, {
        records: listOf(hostRecord, maxRecordsPerMessage),
    }),
    [MessageKind.Digest]: createMessageCheck(MessageKind.Digest, { buckets }),
    [MessageKind.RecordRequest]: createMessageCheck(MessageKind.RecordRequest, { buckets }),
    [MessageKind.Announce]: createMessageCheck(MessageKind.Announce, {
        version: integer(),
        manifestHash: name,
    }),
    [MessageKind.Update]: createMessageCheck(MessageKind.Update, {
        steps: listOf(step, maxUpdateSteps),
        parts,
    }),
    [MessageKind.Pull]: createMessageCheck(MessageKind.Pull, { held: integer() }),
    [MessageKind.Snapshot]: createMessageCheck(MessageKind.Snapshot, { manifest, manifestHash: name, parts }),
    [MessageKind.PartRequest]: createMessageCheck(MessageKind.PartRequest, { hashes }),
    [MessageKind.Parts]: createMessageCheck(MessageKind.Parts, { parts, missing: hashes }),
    [MessageKind.WatermarkRequest]: createMessageCheck(MessageKind.WatermarkRequest, { host: name }),
    [MessageKind.Watermark]: createMessageCheck(MessageKind.Watermark, {
        host: name,
        version: integer(),
        incarnation,
        departures,
        held: integer(),
    }),
    [MessageKind.FateRequest]: createMessageCheck(MessageKind.FateRequest, { callId: name }),
    [MessageKind.Fate]: createMessageCheck(MessageKind.Fate, {
        callId: name,
        fate: oneOf(Object.values(CallFate)),
        incarnation,
    }),
} satisfies Record<MessageKind, Check>;

/** Checks every field of a decoded value against the message type of its kind. */
export function checkMessage(value: unknown): Either<Problem, PeerMessage> {
    const kind: unknown =
        typeof value === "object" && value !== null ? Reflect.get(value, "kind") : undefined;
    if (typeof kind !== "string" || !Object.hasOwn(messageChecks, kind)) {
        return Left(malformedMessage("unknown kind of message"));
    }
    const fault = messageChecks[kind as MessageKind](value);
    return fault === undefined ? Right(value as PeerMessage) : Left(malformedMessage(fault, kind));
}

export function malformedMessage(fault: string, where?: string): Problem {
    return problem(ProblemCode.MalformedMessage, `malformed peer message: ${fault}`, {
        ...(where === undefined ? {} : { where }),
        nextStep: "check that both daemons run compatible releases",
    });
}
