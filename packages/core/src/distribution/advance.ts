import { contentHash } from "../configuration/canonical.js";
import { MessageKind, type PeerMessage } from "../messages/peerMessage.js";
import { EventLevel } from "../telemetry/event.js";
import {
    addParts,
    applyCandidate,
    keepLateParts,
    refreshHeld,
    takeManifest,
    takeSteps,
    takeStoredManifest,
    verifyParts,
} from "./candidate.js";
import { failPartFetch, failTargetFetch, fetchParts, fetchTarget } from "./fetching.js";
import { answerPartRequest, answerPull, serveWaiting } from "./serving.js";
import {
    heldVersion,
    isWanted,
    InputKind,
    SourceKind,
    type AcceptedVersion,
    type Context,
    type Distribution,
    type DistributionInput,
    type Effects,
    type VersionIdentity,
} from "./state.js";

export interface DistributionProgress {
    readonly state: Distribution;
    readonly effects: Effects;
}

/**
 * Takes one input and returns the next state with the messages, reads and events that follow from it.
 *
 * @example
 * ```ts
 * const { state, effects } = advanceDistribution(before, { kind: "tick" }, { now, random: Math.random });
 * effects.messages.forEach(message => outbox.append(message));
 * ```
 */
export function advanceDistribution(
    before: Distribution,
    input: DistributionInput,
    options: { now: number; random: () => number },
): DistributionProgress {
    const effects: Effects = { messages: [], reads: [], events: [] };
    if (!concerns(input)) {
        return { state: before, effects };
    }
    const context: Context = { ...options, effects };
    const taken = takeInput[input.kind](before, context, input as never);
    return { state: settle(taken, context), effects };
}

/** Most messages are host records, which change no version; time alone is the business of the ticks. */
function concerns(input: DistributionInput): boolean {
    return input.kind !== InputKind.Message || takeMessage[input.incoming.message.kind] !== undefined;
}

/** Applies what is whole, then asks for what is missing. */
function settle(state: Distribution, context: Context): Distribution {
    const applied = refreshHeld(applyCandidate(state, context));
    // A refresh that needs no further part is whole at once.
    const current = applyCandidate(applied, context);
    const aimed = skipRejectedTarget(current);
    return serveWaiting(fetchParts(fetchTarget(aimed, context), context), context);
}

type InputOf<K> = Extract<DistributionInput, { kind: K }>;

const takeInput: {
    [K in InputKind]: (state: Distribution, context: Context, input: InputOf<K>) => Distribution;
} = {
    [InputKind.Message]: (state, context, { incoming }) => {
        const take = takeMessage[incoming.message.kind] as MessageHandler<PeerMessage> | undefined;
        return take?.(state, context, incoming.from, incoming.message) ?? state;
    },
    [InputKind.Head]: (state, _context, { head }) => noteHead(state, head),
    [InputKind.StoredObject]: takeStoredObject,
    [InputKind.Links]: (state, _context, { links }) => ({
        ...state,
        links,
        known: new Map([...state.known].filter(([host]) => links.has(host))),
    }),
    [InputKind.Interest]: (state, _context, { interest }) => ({ ...state, interest }),
    [InputKind.Floor]: (state, _context, { floor }) => ({ ...state, floor }),
    [InputKind.Tick]: state => state,
};

type MessageHandler<M> = (state: Distribution, context: Context, from: string, message: M) => Distribution;
type MessageOf<K> = Extract<PeerMessage, { kind: K }>;

const takeMessage: { [K in MessageKind]?: MessageHandler<MessageOf<K>> } = {
    [MessageKind.Heartbeat]: (state, _context, from, message) => notePeer(state, from, message),
    [MessageKind.Announce]: (state, _context, from, message) => {
        const answersPull = state.targetFetch?.host === from;
        const isTooOld = message.version < (state.targetFetch?.target.version ?? 0);
        const noted = notePeer(state, from, message);
        return answersPull && isTooOld ? failTargetFetch(noted) : noted;
    },
    [MessageKind.Pull]: (state, context, from, { held }) =>
        answerPull(noteKnown(state, from, held), context, from, held),
    [MessageKind.Update]: (state, context, from, { steps, parts }) => {
        const last = steps.at(-1);
        if (last === undefined) {
            return state;
        }
        const verified = verifyParts(context, from, parts);
        const noted = notePeer(state, from, last);
        const taken = takeSteps(noted, context, from, steps, verified);
        if (taken === noted && last.version > heldVersion(noted)) {
            const fields = { host: from, version: last.version, held: heldVersion(noted) };
            context.effects.events.push({
                name: "configuration.updateNotApplicable",
                level: EventLevel.Debug,
                fields,
            });
        }
        return keepLateParts(addParts(taken, verified), verified);
    },
    [MessageKind.Snapshot]: (state, context, from, { manifest, manifestHash, parts }) => {
        const target = { version: manifest.version, manifestHash };
        const verified = verifyParts(context, from, parts);
        const noted = notePeer(state, from, target);
        return takeManifest(noted, context, target, manifest, { parts: verified, from });
    },
    [MessageKind.PartRequest]: (state, context, from, { hashes }) => {
        answerPartRequest(state, context, from, hashes);
        return state;
    },
    [MessageKind.Parts]: (state, context, from, { parts, missing }) => {
        const verified = verifyParts(context, from, parts);
        const corrupt = parts.filter(part => !verified.has(part.hash)).map(part => part.hash);
        const added = keepLateParts(addParts(state, verified), verified);
        return [...missing, ...corrupt].reduce((next, hash) => failPartFetch(next, hash, from), added);
    },
};

function noteKnown(state: Distribution, host: string, version: number): Distribution {
    return state.links.has(host) ? { ...state, known: new Map(state.known).set(host, version) } : state;
}

function notePeer(state: Distribution, from: string, target: VersionIdentity): Distribution {
    const known = noteKnown(state, from, target.version);
    // A target that was refused must not hide a lower version that peers hold.
    const open = state.target !== undefined && isWanted(state, state.target) ? state.target.version : 0;
    return target.version > Math.max(open, heldVersion(state))
        ? { ...known, target: toTarget(target) }
        : known;
}

/** The head row is the authority on the manifest of a version. */
function noteHead(before: Distribution, head: AcceptedVersion): Distribution {
    const isStale = head.version < (before.accepted[0]?.version ?? 0);
    const state = isStale ? before : { ...before, accepted: (head.history ?? [head]).map(toTarget) };
    const { target, candidate } = state;
    const isNewer = head.version > (target?.version ?? 0);
    const isContradicted = head.version === target?.version && head.manifestHash !== target.manifestHash;
    if (!isNewer && !isContradicted) {
        return state;
    }
    const isWrong = candidate?.version === head.version && candidate.manifestHash !== head.manifestHash;
    return {
        ...state,
        target: toTarget(head),
        targetFetch: isContradicted ? undefined : state.targetFetch,
        candidate: isWrong ? undefined : candidate,
    };
}

/**
 * Aims at the newest accepted version that was not refused, because a bad version that directly follows a
 * good one must not keep the good one from the hosts that had not taken it yet.
 */
function skipRejectedTarget(state: Distribution): Distribution {
    const { target, accepted, rejectedHashes } = state;
    if (target === undefined || !rejectedHashes.includes(target.manifestHash)) {
        return state;
    }
    const earlier = accepted.find(version => version.version < target.version && isWanted(state, version));
    // The request for the refused version says nothing about the sources of the earlier one.
    return earlier === undefined ? state : { ...state, target: earlier, targetFetch: undefined };
}

function toTarget({ version, manifestHash }: VersionIdentity): VersionIdentity {
    return { version, manifestHash };
}

function takeStoredObject(
    state: Distribution,
    context: Context,
    { hash, bytes, related }: InputOf<typeof InputKind.StoredObject>,
): Distribution {
    const { targetFetch } = state;
    if (targetFetch?.source === SourceKind.Store && targetFetch.target.manifestHash === hash) {
        return bytes === undefined
            ? failTargetFetch(state)
            : takeStoredManifest(state, context, targetFetch.target, { bytes, parts: related ?? new Map() });
    }
    return bytes === undefined || contentHash(bytes) !== hash
        ? failPartFetch(state, hash, undefined)
        : addParts(state, new Map([[hash, bytes]]));
}
