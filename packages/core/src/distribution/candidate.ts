import { assembleConfiguration } from "../configuration/assemble.js";
import { contentHash } from "../configuration/canonical.js";
import { applySteps, diffManifests, emptyManifest, validateManifest } from "../configuration/delta.js";
import type { Manifest, Parts } from "../configuration/manifest.js";
import { parseJson } from "../configuration/resourceValidation.js";
import { maxForwardedParts, maxRememberedRejections } from "../constants.js";
import type { Part, UpdateStep } from "../messages/peerMessage.js";
import { ProblemCode, type Problem } from "../problem.js";
import { EventLevel } from "../telemetry/event.js";
import { failTargetFetch, missingParts } from "./fetching.js";
import { addLoggedParts, appendSteps, emptyUpdateLog } from "./updateLog.js";
import { cachedNeededNames, matchesInterest } from "./neededNames.js";
import { propagateHeldVersion } from "./serving.js";
import {
    canReplaceHeld,
    heldVersion,
    Spread,
    type Candidate,
    type Context,
    type Distribution,
    type VersionIdentity,
} from "./state.js";

/** Returns the parts whose bytes match their hash and reports how many do not. */
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
    // Copied because a decoded part may be a view that keeps the whole message buffer in memory.
    return new Map(verified.map(part => [part.hash, new Uint8Array(part.bytes)]));
}

/** Creates the candidate from consecutive update steps, skipping those up to the held version. */
export function startFromSteps(
    state: Distribution,
    context: Context,
    from: string,
    steps: readonly UpdateStep[],
    parts: Parts,
): Distribution {
    const last = steps.at(-1);
    if (
        last === undefined ||
        !canReplaceHeld(state, last) ||
        last.version <= (state.candidate?.version ?? 0)
    ) {
        return state;
    }
    const base = state.held?.manifest ?? emptyManifest;
    const remaining = steps.filter(step => step.version > base.version);
    if (remaining[0]?.base !== base.version) {
        // The steps do not start at the held version; the next reconciliation sends a pull.
        return state;
    }
    return applySteps(base, remaining).caseOf({
        Left: reason => rejectManifest(state, context, last, reason),
        Right: manifest => setCandidate(state, manifest, last, { steps: remaining, parts, from }),
    });
}

/** Creates the candidate from a complete manifest that a peer or the object store sent. */
export function startFromManifest(
    state: Distribution,
    context: Context,
    target: VersionIdentity,
    value: unknown,
    source: { parts: Parts; from: string | undefined },
): Distribution {
    if (!canReplaceHeld(state, target) || target.version <= (state.candidate?.version ?? 0)) {
        return state;
    }
    return validateManifest(value, target.version, target.manifestHash).caseOf({
        Left: reason => rejectManifest(state, context, target, reason),
        Right: manifest => setCandidate(state, manifest, target, { ...source, steps: [] }),
    });
}

export function startFromStoredManifest(
    state: Distribution,
    context: Context,
    target: VersionIdentity,
    { bytes, parts }: { readonly bytes: Uint8Array; readonly parts: Parts },
): Distribution {
    if (contentHash(bytes) !== target.manifestHash) {
        return failTargetFetch(state);
    }
    return startFromManifest(state, context, target, parseJson(bytes), { parts, from: undefined });
}

/**
 * Rejects a version for its manifest. A hash mismatch or wrong base may be the fault of one sender, so the
 * version is requested from another source. Any other problem is in the manifest itself, so the rejection is permanent.
 */
function rejectManifest(
    state: Distribution,
    context: Context,
    target: VersionIdentity,
    reason: Problem,
): Distribution {
    const mayBeSenderFault =
        reason.code === ProblemCode.HashMismatch || reason.code === ProblemCode.WrongBase;
    const rejected = recordRejection(state, context, target, reason, !mayBeSenderFault);
    return failTargetFetch(rejected);
}

export function recordRejection(
    state: Distribution,
    context: Context,
    target: VersionIdentity,
    reason: Problem,
    isPermanent: boolean,
): Distribution {
    context.effects.events.push({
        name: "configuration.rejected",
        level: EventLevel.Error,
        fields: { version: target.version, code: reason.code, reason: reason.message },
    });
    const rejectedHashes = isPermanent
        ? [...state.rejectedHashes, target.manifestHash].slice(-maxRememberedRejections)
        : state.rejectedHashes;
    const rejected = { version: target.version, reason: reason.message };
    return { ...state, rejectedHashes, rejected };
}

function setCandidate(
    state: Distribution,
    manifest: Manifest,
    target: VersionIdentity,
    source: { steps: readonly UpdateStep[]; parts: Parts; from: string | undefined },
): Distribution {
    const usedHashes = new Set(Object.values(manifest.entries).map(entry => entry.hash));
    // Parts of the held version override equal ones because their bytes are already validated.
    const availableParts = new Map([
        ...source.parts,
        ...(state.candidate?.parts ?? []),
        ...state.updateLog.parts,
        ...(state.held?.parts ?? []),
    ]);
    const parts = new Map([...availableParts].filter(([hash]) => usedHashes.has(hash)));
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
    // If a version newer than the candidate is known, the next reconciliation requests it immediately.
    return { ...state, candidate, targetFetch: undefined };
}

/** A host that reads a version from the object store also fetches the changed parts that its neighbours may need. */
function partsToForward(state: Distribution, manifest: Manifest): ReadonlySet<string> {
    if (state.spread !== Spread.Eager || state.held === undefined) {
        return new Set();
    }
    const { changed } = diffManifests(state.held.manifest, manifest);
    const hashes = Object.values(changed).map(entry => entry.hash);
    return new Set(hashes.length > maxForwardedParts ? [] : hashes);
}

/** Adds the parts that the candidate is missing and ignores the others. */
export function addCandidateParts(state: Distribution, parts: Parts): Distribution {
    const { candidate } = state;
    if (candidate === undefined || parts.size === 0) {
        return state;
    }
    const missing = new Set(missingParts(state, candidate));
    const added = [...parts].filter(([hash]) => missing.has(hash));
    return { ...state, candidate: { ...candidate, parts: new Map([...candidate.parts, ...added]) } };
}

/** Once every part has arrived, validates the candidate and either applies or rejects all of it. */
export function applyCandidate(state: Distribution, context: Context): Distribution {
    const { candidate } = state;
    if (candidate === undefined) {
        return state;
    }
    const isRefresh = candidate.manifestHash === state.held?.manifestHash;
    if (!isRefresh && !canReplaceHeld(state, candidate)) {
        return { ...state, candidate: undefined };
    }
    if (missingParts(state, candidate).length > 0) {
        return state;
    }
    const { manifest, manifestHash, parts } = candidate;
    const needed = cachedNeededNames(manifest, state.interest);
    return assembleConfiguration({ manifest, manifestHash, parts, needed }).caseOf({
        Left: reason => recordRejection({ ...state, candidate: undefined }, context, candidate, reason, true),
        Right: held => {
            const next = { ...state, held, candidate: undefined };
            return isRefresh ? next : finishApply(state, next, context);
        },
    });
}

function finishApply(before: Distribution, applied: Distribution, context: Context): Distribution {
    const held = applied.held as NonNullable<Distribution["held"]>;
    const candidate = before.candidate as NonNullable<Distribution["candidate"]>;
    const { version } = held.manifest;
    const updateLog = logCandidate(before, candidate);
    const rejected =
        before.rejected !== undefined && before.rejected.version > version ? before.rejected : undefined;
    const next = { ...applied, updateLog, rejected };
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
    return propagateHeldVersion(next, context);
}

/** The first version of a host is not logged: a peer that needs all of it is better served by a snapshot. */
function logCandidate(before: Distribution, candidate: NonNullable<Distribution["candidate"]>) {
    if (before.held === undefined) {
        return emptyUpdateLog;
    }
    const steps =
        candidate.steps.length > 0 ? candidate.steps : [createStep(before.held.manifest, candidate)];
    return appendSteps(before.updateLog, steps, candidate.parts);
}

function createStep(base: Manifest, { version, manifestHash, manifest }: Candidate): UpdateStep {
    return { base: base.version, version, manifestHash, delta: diffManifests(base, manifest) };
}

/** Makes the held version the candidate when a change of interest requires different parts of it. */
export function startRefresh(state: Distribution): Distribution {
    const { held, candidate } = state;
    if (held === undefined || candidate !== undefined || state.rejectedHashes.includes(held.manifestHash)) {
        return state;
    }
    if (matchesInterest(held, state.interest)) {
        return state;
    }
    const target = { version: held.manifest.version, manifestHash: held.manifestHash };
    return setCandidate(state, held.manifest, target, { steps: [], parts: new Map(), from: undefined });
}

/** Adds parts of logged steps that arrived after their version was applied. */
export function logLateParts(state: Distribution, parts: Parts): Distribution {
    return parts.size === 0 ? state : { ...state, updateLog: addLoggedParts(state.updateLog, parts) };
}
