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
import { bytes, integer, listOf, mapOf, oneOf, optional, shape, text, type Check } from "./checks.js";
import {
    maxEntries,
    maxIncarnation,
    maxNameLength,
    maxOffers,
    maxParts,
    maxReasonLength,
    maxRecordsPerMessage,
    maxReferences,
    maxSteps,
} from "./constants.js";

const name = text(maxNameLength);
const names = listOf(name, maxReferences);
const incarnation = integer(maxIncarnation);
const buckets = listOf(integer(0xffff_ffff), digestBucketCount);
const hashes = listOf(name, maxParts);

const offer = shape<ServiceOffer>({ service: name, slots: integer(), startedAt: integer() });

const departures = optional(listOf(shape<HostDeparture>({ id: name, incarnation }), maxDepartures));

const hostRecord = shape<HostRecord>({
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
        shape<NonNullable<HostRecord["rejected"]>>({ version: integer(), reason: text(maxReasonLength) }),
    ),
});

const parts = listOf(shape<Part>({ hash: name, bytes }), maxParts);
const entry = shape<ManifestEntry>({ hash: name, references: names, neededBy: names });
const entries = mapOf(name, entry, maxEntries);
const delta = shape<ManifestDelta>({ changed: entries, removed: listOf(name, maxEntries) });
const manifest = shape<Manifest>({ version: integer(), entries });
const step = shape<UpdateStep>({
    base: integer(),
    version: integer(),
    manifestHash: name,
    delta,
});

type MessageOf<K extends MessageKind> = Extract<PeerMessage, { kind: K }>;

/** Decodes the fields of one kind of message. */
function messageOf<K extends MessageKind>(
    kind: K,
    fields: { [F in keyof Omit<MessageOf<K>, "kind">]-?: Check },
): Check {
    return shape<Record<string, unknown>>({ kind: oneOf([kind]), ...fields });
}

const decoders = {
    [MessageKind.Heartbeat]: messageOf(MessageKind.Heartbeat, { version: integer(), manifestHash: name }),
    [MessageKind.Records]: messageOf(MessageKind.Records, {
        records: listOf(hostRecord, maxRecordsPerMessage),
    }),
    [MessageKind.Digest]: messageOf(MessageKind.Digest, { buckets }),
    [MessageKind.RecordRequest]: messageOf(MessageKind.RecordRequest, { buckets }),
    [MessageKind.Announce]: messageOf(MessageKind.Announce, { version: integer(), manifestHash: name }),
    [MessageKind.Update]: messageOf(MessageKind.Update, { steps: listOf(step, maxSteps), parts }),
    [MessageKind.Pull]: messageOf(MessageKind.Pull, { held: integer() }),
    [MessageKind.Snapshot]: messageOf(MessageKind.Snapshot, { manifest, manifestHash: name, parts }),
    [MessageKind.PartRequest]: messageOf(MessageKind.PartRequest, { hashes }),
    [MessageKind.Parts]: messageOf(MessageKind.Parts, { parts, missing: hashes }),
    [MessageKind.WatermarkRequest]: messageOf(MessageKind.WatermarkRequest, { host: name }),
    [MessageKind.Watermark]: messageOf(MessageKind.Watermark, {
        host: name,
        version: integer(),
        incarnation,
        departures,
        held: integer(),
    }),
    [MessageKind.FateRequest]: messageOf(MessageKind.FateRequest, { callId: name }),
    [MessageKind.Fate]: messageOf(MessageKind.Fate, {
        callId: name,
        fate: oneOf(Object.values(CallFate)),
        incarnation,
    }),
} satisfies Record<MessageKind, Check>;

/** Checks a decoded value fully against the type of its kind. */
export function checkMessage(value: unknown): Either<Problem, PeerMessage> {
    const kind: unknown =
        typeof value === "object" && value !== null ? Reflect.get(value, "kind") : undefined;
    if (typeof kind !== "string" || !Object.hasOwn(decoders, kind)) {
        return Left(malformed("the kind of the message is not known"));
    }
    const fault = decoders[kind as MessageKind](value);
    return fault === undefined ? Right(value as PeerMessage) : Left(malformed(fault, kind));
}

export function malformed(fault: string, where?: string): Problem {
    return problem(ProblemCode.MalformedMessage, `peer message refused: ${fault}`, {
        ...(where === undefined ? {} : { where }),
        nextStep: "compare the releases of the two daemons",
    });
}
