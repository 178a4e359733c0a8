import { Left, Right, type Either } from "purify-ts/Either";
import type { ManifestDelta, UpdateStep } from "../messages/peerMessage.js";
import { problem, ProblemCode, type Problem } from "../problem.js";
import { canonicalBytes, canonicalJson, contentHash } from "./canonical.js";
import type { Manifest, ManifestEntry } from "./manifest.js";
import { isManifest } from "./resourceChecks.js";

/** Manifest of a host that holds no version. */
export const emptyManifest: Manifest = { version: 0, entries: {} };

/** `version` and `entries`. */
const manifestFields = 2;

/** Canonical JSON of each entry, because successive versions share all but a few of them. */
const entryTexts = new WeakMap<ManifestEntry, string>();

/** Hash of the canonical JSON of the manifest, put together from the texts of its entries. */
export function manifestHashOf(manifest: Manifest): string {
    const names = Object.keys(manifest.entries);
    // A manifest of a later release may have further fields, which the hash covers too.
    if (Object.keys(manifest).length !== manifestFields || names.some(isIndex)) {
        return contentHash(canonicalBytes(manifest));
    }
    const texts = names.sort().map(name => `${JSON.stringify(name)}:${textOf(manifest.entries[name])}`);
    const text = `{"entries":{${texts.join(",")}},"version":${JSON.stringify(manifest.version)}}`;
    return contentHash(Buffer.from(text, "utf8"));
}

/** Canonical JSON puts names that look like array indexes first, as objects do. */
function isIndex(name: string): boolean {
    return /^[0-9]/.test(name);
}

function textOf(entry: ManifestEntry | undefined): string {
    if (entry === undefined) {
        return "null";
    }
    const text = entryTexts.get(entry) ?? canonicalJson(entry);
    entryTexts.set(entry, text);
    return text;
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
        const entries = { ...without(manifest.entries, step.delta.removed), ...step.delta.changed };
        manifest = { version: step.version, entries };
    }
    const last = steps.at(-1);
    return last === undefined ? Right(base) : checkManifest(manifest, last.version, last.manifestHash);
}

function without(entries: Manifest["entries"], names: readonly string[]): Manifest["entries"] {
    if (names.length === 0) {
        return entries;
    }
    const removed = new Set(names);
    return Object.fromEntries(Object.entries(entries).filter(([name]) => !removed.has(name)));
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
