import { contentHash } from "../configuration/canonical.js";
import { MessageKind, type PeerMessage } from "../messages/peerMessage.js";
import { EventLevel } from "../telemetry/event.js";
import {
    addCandidateParts,
    applyCandidate,
    logLateParts,
    startFromManifest,
    startFromSteps,
    startFromStoredManifest,
    startRefresh,
    verifyParts,
} from "./candidate.js";
import { failPartFetch, failTargetFetch, fetchParts, fetchTarget } from "./fetching.js";
import { answerPartRequest, answerPull, serveQueuedSnapshots } from "./serving.js";
import {
    canReplaceHeld,
    heldVersion,
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
 * Processes one input and returns the next state with the resulting messages, object reads and events.
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
    if (!affectsDistribution(input)) {
        return { state: before, effects };
    }
    const context: Context = { ...options, effects };
    const handled = inputHandlers[input.kind](before, context, input as never);
    return { state: reconcile(handled, context), effects };
}

/** Skips messages without a handler, such as host records, which are most of the traffic. Ticks handle elapsed time. */
function affectsDistribution(input: DistributionInput): boolean {
    return input.kind !== InputKind.Message || messageHandlers[input.incoming.message.kind] !== undefined;
}

/** Applies a complete candidate, then requests whatever is still missing. */
function reconcile(state: Distribution, context: Context): Distribution {
    const refreshed = startRefresh(applyCandidate(state, context));
    // A refresh whose parts are all available can be applied immediately.
    const current = applyCandidate(refreshed, context);
    const retargeted = skipRejectedTarget(current);
    return serveQueuedSnapshots(fetchParts(fetchTarget(retargeted, context), context), context);
}

type InputOf<K> = Extract<DistributionInput, { kind: K }>;

const inputHandlers: {
    [K in InputKind]: (state: Distribution, context: Context, input: InputOf<K>) => Distribution;
} = {
    [InputKind.Message]: (state, context, { incoming }) => {
        const handle = messageHandlers[incoming.message.kind] as MessageHandler<PeerMessage> | undefined;
        return handle?.(state, context, incoming.from, incoming.message) ?? state;
    },
    [InputKind.Head]: (state, _context, { head }) => recordHead(state, head),
    [InputKind.StoredObject]: handleStoredObject,
    [InputKind.Links]: (state, _context, { links }) => ({
        ...state,
        links,
        peerVersions: new Map([...state.peerVersions].filter(([host]) => links.has(host))),
    }),
    [InputKind.Interest]: (state, _context, { interest }) => ({ ...state, interest }),
    [InputKind.Floor]: (state, _context, { floor }) => ({ ...state, floor }),
    [InputKind.Tick]: state => state,
};

type MessageHandler<M> = (state: Distribution, context: Context, from: string, message: M) => Distribution;
type MessageOf<K> = Extract<PeerMessage, { kind: K }>;

const messageHandlers: { [K in MessageKind]?: MessageHandler<MessageOf<K>> } = {
    [MessageKind.Heartbeat]: (state, _context, from, message) => recordPeerTarget(state, from, message),
    [MessageKind.Announce]: (state, _context, from, message) => {
        const answersPull = state.targetFetch?.host === from;
        const isTooOld = message.version < (state.targetFetch?.target.version ?? 0);
        const recorded = recordPeerTarget(state, from, message);
        return answersPull && isTooOld ? failTargetFetch(recorded) : recorded;
    },
    [MessageKind.Pull]: (state, context, from, { held }) =>
        answerPull(recordPeerVersion(state, from, held), context, from, held),
    [MessageKind.Update]: (state, context, from, { steps, parts }) => {
        const last = steps.at(-1);
        if (last === undefined) {
            return state;
        }
        const verified = verifyParts(context, from, parts);
        const recorded = recordPeerTarget(state, from, last);
        const started = startFromSteps(recorded, context, from, steps, verified);
        if (started === recorded && last.version > heldVersion(recorded)) {
            const fields = { host: from, version: last.version, held: heldVersion(recorded) };
            context.effects.events.push({
                name: "configuration.updateNotApplicable",
                level: EventLevel.Debug,
                fields,
            });
        }
        return logLateParts(addCandidateParts(started, verified), verified);
    },
    [MessageKind.Snapshot]: (state, context, from, { manifest, manifestHash, parts }) => {
        const target = { version: manifest.version, manifestHash };
        const verified = verifyParts(context, from, parts);
        const recorded = recordPeerTarget(state, from, target);
        return startFromManifest(recorded, context, target, manifest, { parts: verified, from });
    },
    [MessageKind.PartRequest]: (state, context, from, { hashes }) => {
        answerPartRequest(state, context, from, hashes);
        return state;
    },
    [MessageKind.Parts]: (state, context, from, { parts, missing }) => {
        const verified = verifyParts(context, from, parts);
        const corrupt = parts.filter(part => !verified.has(part.hash)).map(part => part.hash);
        const added = logLateParts(addCandidateParts(state, verified), verified);
        return [...missing, ...corrupt].reduce((next, hash) => failPartFetch(next, hash, from), added);
    },
};

function recordPeerVersion(state: Distribution, host: string, version: number): Distribution {
    return state.links.has(host)
        ? { ...state, peerVersions: new Map(state.peerVersions).set(host, version) }
        : state;
}

function recordPeerTarget(state: Distribution, from: string, target: VersionIdentity): Distribution {
    const recorded = recordPeerVersion(state, from, target.version);
    // A rejected target must not mask a lower version that peers hold.
    const currentTarget =
        state.target !== undefined && canReplaceHeld(state, state.target) ? state.target.version : 0;
    return target.version > Math.max(currentTarget, heldVersion(state))
        ? { ...recorded, target: toIdentity(target) }
        : recorded;
}

/** Where a peer and the head row name different manifests for a version, the head row is authoritative. */
function recordHead(before: Distribution, head: AcceptedVersion): Distribution {
    const isStale = head.version < (before.accepted[0]?.version ?? 0);
    const state = isStale ? before : { ...before, accepted: (head.history ?? [head]).map(toIdentity) };
    const { target, candidate } = state;
    const isNewer = head.version > (target?.version ?? 0);
    const isContradicted = head.version === target?.version && head.manifestHash !== target.manifestHash;
    if (!isNewer && !isContradicted) {
        return state;
    }
    const isCandidateContradicted =
        candidate?.version === head.version && candidate.manifestHash !== head.manifestHash;
    return {
        ...state,
        target: toIdentity(head),
        targetFetch: isContradicted ? undefined : state.targetFetch,
        candidate: isCandidateContradicted ? undefined : candidate,
    };
}

/**
 * Replaces a rejected target by the newest accepted version that was not rejected. Otherwise a bad version
 * that directly follows a good one would keep hosts from applying the good one.
 */
function skipRejectedTarget(state: Distribution): Distribution {
    const { target, accepted, rejectedHashes } = state;
    if (target === undefined || !rejectedHashes.includes(target.manifestHash)) {
        return state;
    }
    const earlier = accepted.find(
        version => version.version < target.version && canReplaceHeld(state, version),
    );
    // The sources tried for the rejected version may still serve the earlier one.
    return earlier === undefined ? state : { ...state, target: earlier, targetFetch: undefined };
}

function toIdentity({ version, manifestHash }: VersionIdentity): VersionIdentity {
    return { version, manifestHash };
}

function handleStoredObject(
    state: Distribution,
    context: Context,
    { hash, bytes, related }: InputOf<typeof InputKind.StoredObject>,
): Distribution {
    const { targetFetch } = state;
    if (targetFetch?.source === SourceKind.Store && targetFetch.target.manifestHash === hash) {
        return bytes === undefined
            ? failTargetFetch(state)
            : startFromStoredManifest(state, context, targetFetch.target, {
                  bytes,
                  parts: related ?? new Map(),
              });
    }
    return bytes === undefined || contentHash(bytes) !== hash
        ? failPartFetch(state, hash, undefined)
        : addCandidateParts(state, new Map([[hash, bytes]]));
}
