import { Left, Right, type Either } from "purify-ts/Either";
import type { ManifestDelta, UpdateStep } from "../messages/peerMessage.js";
import { problem, ProblemCode, type Problem } from "../problem.js";
import { canonicalBytes, canonicalJson, contentHash } from "./canonical.js";
import type { Manifest, ManifestEntry } from "./manifest.js";
import { isManifest } from "./resourceChecks.js";

/** Manifest of a host that holds no version. */
export const emptyManifest: Manifest = { version: 0, entries: {} };

export function manifestHashOf(manifest: Manifest): string {
    return contentHash(canonicalBytes(manifest));
}

/**
 * Difference between two manifests; `applyDelta` leads from the first to the second.
 *
 * @example
 * ```ts
 * const delta = diffManifests(held.manifest, next);
 * ```
 */
export function diffManifests(from: Manifest, to: Manifest): ManifestDelta {
    const changed = Object.entries(to.entries).filter(
        ([name, entry]) => !equalEntries(from.entries[name], entry),
    );
    const removed = Object.keys(from.entries).filter(name => !Object.hasOwn(to.entries, name));
    return { changed: Object.fromEntries(changed), removed: removed.sort() };
}

function equalEntries(a: ManifestEntry | undefined, b: ManifestEntry): boolean {
    return a !== undefined && (a === b || canonicalJson(a) === canonicalJson(b));
}

/**
 * Applies one step to the manifest of its base version.
 *
 * @returns the next manifest; `wrongBase` when the step starts at another version, `hashMismatch` when
 * the result is not the manifest that the step names.
 */
export function applyDelta(base: Manifest, step: UpdateStep): Either<Problem, Manifest> {
    return applySteps(base, [step]);
}

/** Applies consecutive steps and checks the hash of the last manifest, which covers those before it. */
export function applySteps(base: Manifest, steps: readonly UpdateStep[]): Either<Problem, Manifest> {
    let manifest = base;
    for (const step of steps) {
        if (step.base !== manifest.version || step.version <= step.base) {
            const message = `step ${step.base} to ${step.version} does not start at version ${manifest.version}`;
            return Left(problem(ProblemCode.WrongBase, message));
        }
        const removed = new Set(step.delta.removed);
        const kept = Object.entries(manifest.entries).filter(([name]) => !removed.has(name));
        const entries = { ...Object.fromEntries(kept), ...step.delta.changed };
        manifest = { version: step.version, entries };
    }
    const last = steps.at(-1);
    return last === undefined ? Right(base) : checkManifest(manifest, last.version, last.manifestHash);
}

/** Checks shape, version and hash of a manifest, and that each reference in it has an entry. */
export function checkManifest(
    value: unknown,
    version: number,
    manifestHash: string,
): Either<Problem, Manifest> {
    const where = `version ${version}`;
    if (!isManifest(value)) {
        return Left(
            problem(ProblemCode.MalformedResource, `the manifest of ${where} is malformed`, { where }),
        );
    }
    const manifest = value as Manifest;
    if (manifest.version !== version || manifestHashOf(manifest) !== manifestHash) {
        const message = `the manifest of ${where} does not match ${manifestHash}`;
        return Left(problem(ProblemCode.HashMismatch, message, { where }));
    }
    for (const [name, entry] of Object.entries(manifest.entries)) {
        const missing = entry.references.find(target => !Object.hasOwn(manifest.entries, target));
        if (missing !== undefined) {
            const message = `resource "${name}" refers to "${missing}", which is not in the manifest`;
            return Left(problem(ProblemCode.DanglingReference, message, { where }));
        }
    }
    return Right(manifest);
}
