import { assembleConfiguration } from "../configuration/assemble.js";
import { contentHash } from "../configuration/canonical.js";
import { applySteps, checkManifest, diffManifests, emptyManifest } from "../configuration/delta.js";
import type { Manifest, Parts } from "../configuration/manifest.js";
import { parseJson } from "../configuration/resourceChecks.js";
import { maxForwardedParts, maxRememberedRejections } from "../constants.js";
import type { Part, UpdateStep } from "../messages/peerMessage.js";
import { ProblemCode, type Problem } from "../problem.js";
import { EventLevel } from "../telemetry/event.js";
import { failTargetFetch, missingParts } from "./fetching.js";
import { keepParts, keepSteps, noKeptSteps } from "./keptSteps.js";
import { holdsNeeded, neededNames } from "./needs.js";
import { spreadHeld } from "./serving.js";
import {
    heldVersion,
    isWanted,
    Spread,
    type Candidate,
    type Context,
    type Distribution,
    type VersionIdentity,
} from "./state.js";

/** Keeps the parts whose bytes match their hash; counts the others. */
export function verifyParts(context: Context, from: string, parts: readonly Part[]): Parts {
    const verified = parts.filter(part => contentHash(part.bytes) === part.hash);
    if (verified.length < parts.length) {
        const fields = { host: from, count: parts.length - verified.length };
        context.effects.events.push({
            name: "configuration.corruptParts",
            level: EventLevel.Warn,
            fields,
        });
    }
    // Copied, because a decoded part may be a view that keeps a whole message in memory.
    return new Map(verified.map(part => [part.hash, new Uint8Array(part.bytes)]));
}

/** Takes a chain of steps. Steps up to the held version are skipped. */
export function takeSteps(
    state: Distribution,
    context: Context,
    from: string,
    steps: readonly UpdateStep[],
    parts: Parts,
): Distribution {
    const last = steps.at(-1);
    if (last === undefined || !isWanted(state, last) || last.version <= (state.candidate?.version ?? 0)) {
        return state;
    }
    const base = state.held?.manifest ?? emptyManifest;
    const remaining = steps.filter(step => step.version > base.version);
    if (remaining[0]?.base !== base.version) {
        // The peer did not start at the held version; the next settling pulls.
        return state;
    }
    return applySteps(base, remaining).caseOf({
        Left: reason => refuseManifest(state, context, last, reason),
        Right: manifest => startCandidate(state, manifest, last, { steps: remaining, parts, from }),
    });
}

/** Takes a whole manifest, from a peer or from the object store. */
export function takeManifest(
    state: Distribution,
    context: Context,
    target: VersionIdentity,
    value: unknown,
    source: { parts: Parts; from: string | undefined },
): Distribution {
    if (!isWanted(state, target) || target.version <= (state.candidate?.version ?? 0)) {
        return state;
    }
    return checkManifest(value, target.version, target.manifestHash).caseOf({
        Left: reason => refuseManifest(state, context, target, reason),
        Right: manifest => startCandidate(state, manifest, target, { ...source, steps: [] }),
    });
}

export function takeStoredManifest(
    state: Distribution,
    context: Context,
    target: VersionIdentity,
    { bytes, parts }: { readonly bytes: Uint8Array; readonly parts: Parts },
): Distribution {
    if (contentHash(bytes) !== target.manifestHash) {
        return failTargetFetch(state);
    }
    return takeManifest(state, context, target, parseJson(bytes), { parts, from: undefined });
}

/**
 * A mismatch of the hash may be the fault of one sender, so the version is asked for elsewhere. Any other
 * fault is in the manifest itself, and the version is refused for good.
 */
function refuseManifest(
    state: Distribution,
    context: Context,
    target: VersionIdentity,
    reason: Problem,
): Distribution {
    const isSendersFault = reason.code === ProblemCode.HashMismatch || reason.code === ProblemCode.WrongBase;
    const refused = reject(state, context, target, reason, !isSendersFault);
    return failTargetFetch(refused);
}

export function reject(
    state: Distribution,
    context: Context,
    target: VersionIdentity,
    reason: Problem,
    forGood: boolean,
): Distribution {
    context.effects.events.push({
        name: "configuration.rejected",
        level: EventLevel.Error,
        fields: { version: target.version, code: reason.code, reason: reason.message },
    });
    const rejectedHashes = forGood
        ? [...state.rejectedHashes, target.manifestHash].slice(-maxRememberedRejections)
        : state.rejectedHashes;
    const rejected = { version: target.version, reason: reason.message };
    return { ...state, rejectedHashes, rejected };
}

function startCandidate(
    state: Distribution,
    manifest: Manifest,
    target: VersionIdentity,
    source: { steps: readonly UpdateStep[]; parts: Parts; from: string | undefined },
): Distribution {
    const used = new Set(Object.values(manifest.entries).map(entry => entry.hash));
    // The bytes held so far come last and so replace equal ones: they are checked already.
    const known = new Map([
        ...source.parts,
        ...(state.candidate?.parts ?? []),
        ...state.kept.parts,
        ...(state.held?.parts ?? []),
    ]);
    const parts = new Map([...known].filter(([hash]) => used.has(hash)));
    const forwarded = source.from === undefined ? partsToForward(state, manifest) : new Set<string>();
    const { version, manifestHash } = target;
    const candidate = {
        version,
        manifestHash,
        manifest,
        steps: source.steps,
        from: source.from,
        parts,
        forwarded,
    };
    // The next settling asks again at once when a version above the candidate is known.
    return { ...state, candidate, targetFetch: undefined };
}

/** The host that brings a version from the object store also brings its neighbours' changed parts. */
function partsToForward(state: Distribution, manifest: Manifest): ReadonlySet<string> {
    if (state.spread !== Spread.Eager || state.held === undefined) {
        return new Set();
    }
    const { changed } = diffManifests(state.held.manifest, manifest);
    const hashes = Object.values(changed).map(entry => entry.hash);
    return new Set(hashes.length > maxForwardedParts ? [] : hashes);
}

/** Adds parts that arrived for the candidate. */
export function addParts(state: Distribution, parts: Parts): Distribution {
    const { candidate } = state;
    if (candidate === undefined || parts.size === 0) {
        return state;
    }
    const missing = new Set(missingParts(state, candidate));
    const added = [...parts].filter(([hash]) => missing.has(hash));
    return { ...state, candidate: { ...candidate, parts: new Map([...candidate.parts, ...added]) } };
}

/** Puts the candidate in force once it is whole, or refuses it whole. */
export function applyCandidate(state: Distribution, context: Context): Distribution {
    const { candidate } = state;
    if (candidate === undefined) {
        return state;
    }
    const isRefresh = candidate.manifestHash === state.held?.manifestHash;
    if (!isRefresh && !isWanted(state, candidate)) {
        return { ...state, candidate: undefined };
    }
    if (missingParts(state, candidate).length > 0) {
        return state;
    }
    const { manifest, manifestHash, parts } = candidate;
    const needed = neededNames(manifest, state.interest);
    return assembleConfiguration({ manifest, manifestHash, parts, needed }).caseOf({
        Left: reason => reject({ ...state, candidate: undefined }, context, candidate, reason, true),
        Right: held => {
            const next = { ...state, held, candidate: undefined };
            return isRefresh ? next : announceApplied(state, next, context);
        },
    });
}

function announceApplied(before: Distribution, applied: Distribution, context: Context): Distribution {
    const held = applied.held as NonNullable<Distribution["held"]>;
    const candidate = before.candidate as NonNullable<Distribution["candidate"]>;
    const { version } = held.manifest;
    const kept = keepCandidate(before, candidate);
    const rejected =
        before.rejected !== undefined && before.rejected.version > version ? before.rejected : undefined;
    const next = { ...applied, kept, rejected };
    context.effects.events.push({
        name: "configuration.applied",
        level: EventLevel.Info,
        fields: {
            version,
            before: heldVersion(before),
            resources: held.resources.size,
            from: candidate.from,
        },
    });
    return spreadHeld(next, context);
}

/** The first version of a host is not kept as a step: a snapshot serves it better. */
function keepCandidate(before: Distribution, candidate: NonNullable<Distribution["candidate"]>) {
    if (before.held === undefined) {
        return noKeptSteps;
    }
    const steps = candidate.steps.length > 0 ? candidate.steps : [stepFrom(before.held.manifest, candidate)];
    return keepSteps(before.kept, steps, candidate.parts);
}

function stepFrom(base: Manifest, { version, manifestHash, manifest }: Candidate): UpdateStep {
    return { base: base.version, version, manifestHash, delta: diffManifests(base, manifest) };
}

/** Starts to gather the parts of the held version that a change of interest calls for. */
export function refreshHeld(state: Distribution): Distribution {
    const { held, candidate } = state;
    if (held === undefined || candidate !== undefined || state.rejectedHashes.includes(held.manifestHash)) {
        return state;
    }
    if (holdsNeeded(held, state.interest)) {
        return state;
    }
    const target = { version: held.manifest.version, manifestHash: held.manifestHash };
    return startCandidate(state, held.manifest, target, { steps: [], parts: new Map(), from: undefined });
}

/** Keeps parts of the latest steps that came too late for the version that brought them. */
export function keepLateParts(state: Distribution, parts: Parts): Distribution {
    return parts.size === 0 ? state : { ...state, kept: keepParts(state.kept, parts) };
}
