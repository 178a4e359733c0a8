import { Left, Right, type Either } from "purify-ts/Either";
import type { ManifestDelta, UpdateStep } from "../messages/peerMessage.js";
import { problem, ProblemCode, type Problem } from "../problem.js";
import { canonicalBytes, canonicalJson, contentHash } from "./canonical.js";
import type { Manifest, ManifestEntry } from "./manifest.js";
import { isManifest } from "./resourceValidation.js";

/** The base of the first update of a host without a version. */
export const emptyManifest: Manifest = { version: 0, entries: {} };

/** `version` and `entries`. */
const manifestFieldCount = 2;

/** Cache of the canonical JSON of entries: consecutive versions share most of their entries. */
const entryJsonCache = new WeakMap<ManifestEntry, string>();

/** Hash of the canonical JSON of the manifest, which is assembled from the cached JSON of its entries. */
export function manifestHashOf(manifest: Manifest): string {
    const names = Object.keys(manifest.entries);
    // A manifest from a later release may have more fields, which the hash covers as well.
    if (Object.keys(manifest).length !== manifestFieldCount || names.some(isIndexLike)) {
        return contentHash(canonicalBytes(manifest));
    }
    const entryMembers = names
        .sort()
        .map(name => `${JSON.stringify(name)}:${entryJson(manifest.entries[name])}`);
    const text = `{"entries":{${entryMembers.join(",")}},"version":${JSON.stringify(manifest.version)}}`;
    return contentHash(Buffer.from(text, "utf8"));
}

/** JavaScript objects, and so canonical JSON, list keys that look like array indexes before all others. */
function isIndexLike(name: string): boolean {
    return /^[0-9]/.test(name);
}

function entryJson(entry: ManifestEntry | undefined): string {
    if (entry === undefined) {
        return "null";
    }
    const text = entryJsonCache.get(entry) ?? canonicalJson(entry);
    entryJsonCache.set(entry, text);
    return text;
}

/**
 * Difference between two manifests. Applying it to the first gives the second.
 *
 * @example
 * ```ts
 * const delta = diffManifests(held.manifest, next);
 * ```
 */
export function diffManifests(from: Manifest, to: Manifest): ManifestDelta {
    const changed = Object.entries(to.entries).filter(
        ([name, entry]) => !areEntriesEqual(from.entries[name], entry),
    );
    const removed = Object.keys(from.entries).filter(name => !Object.hasOwn(to.entries, name));
    return { changed: Object.fromEntries(changed), removed: removed.sort() };
}

function areEntriesEqual(a: ManifestEntry | undefined, b: ManifestEntry): boolean {
    return a !== undefined && (a === b || canonicalJson(a) === canonicalJson(b));
}

/**
 * Applies one step to the manifest of its base version.
 *
 * @returns the next manifest, or a problem: `wrongBase` when the step starts at another version, `hashMismatch`
 * when the result does not have the manifest hash of the step.
 */
export function applyDelta(base: Manifest, step: UpdateStep): Either<Problem, Manifest> {
    return applySteps(base, [step]);
}

/** Applies consecutive steps. Only the last manifest is hashed, because its hash depends on every step. */
export function applySteps(base: Manifest, steps: readonly UpdateStep[]): Either<Problem, Manifest> {
    let manifest = base;
    for (const step of steps) {
        if (step.base !== manifest.version || step.version <= step.base) {
            const message = `step ${step.base} to ${step.version} does not start at version ${manifest.version}`;
            return Left(problem(ProblemCode.WrongBase, message));
        }
        const entries = { ...omitEntries(manifest.entries, step.delta.removed), ...step.delta.changed };
        manifest = { version: step.version, entries };
    }
    const last = steps.at(-1);
    return last === undefined ? Right(base) : validateManifest(manifest, last.version, last.manifestHash);
}

function omitEntries(entries: Manifest["entries"], names: readonly string[]): Manifest["entries"] {
    if (names.length === 0) {
        return entries;
    }
    const removed = new Set(names);
    return Object.fromEntries(Object.entries(entries).filter(([name]) => !removed.has(name)));
}

/** Checks the structure, version and hash of a manifest, and that every reference has an entry. */
export function validateManifest(
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
