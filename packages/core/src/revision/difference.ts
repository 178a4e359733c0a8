import { Left, Right } from "purify-ts/Either";
import { canonicalJson, contentHash } from "../configuration/canonical.js";
import { diffManifests, emptyManifest, validateManifest } from "../configuration/delta.js";
import type { Manifest } from "../configuration/manifest.js";
import type { ResourceName } from "../configuration/resource.js";
import { parseJson } from "../configuration/resourceValidation.js";
import {
    PlatformAnswer,
    PlatformOperation,
    type PlatformRequest,
    type PlatformResult,
} from "../platform/operation.js";
import { problem, ProblemCode } from "../problem.js";
import { headKey, revisionKey, type Head, type Revision } from "./head.js";
import { platformProblem } from "./platformProblems.js";
import { finished, pending, type Progress } from "./progress.js";

export interface FieldDifference {
    /** Path of the field, such as `operations.0.deadlineMs`. */
    readonly path: string;
    /** `undefined` when the field does not exist on that side. */
    readonly before: unknown;
    readonly after: unknown;
}

export interface ResourceDifference {
    readonly name: ResourceName;
    readonly fields: readonly FieldDifference[];
}

/** Changes that accepting a revision would make to the accepted version. */
export interface RevisionDifference {
    readonly revision: number;
    readonly baseVersion: number;
    readonly headVersion: number;
    readonly added: readonly ResourceName[];
    readonly removed: readonly ResourceName[];
    readonly changed: readonly ResourceDifference[];
}

/** Compares the manifests `from` and `to`; `parts` maps the hash of each changed part of both to its content. */
export function compareManifests(
    revision: Revision,
    from: Manifest,
    to: Manifest,
    parts: ReadonlyMap<string, unknown>,
): RevisionDifference {
    const { changed, removed } = diffManifests(from, to);
    const names = Object.keys(changed).sort();
    const existsBefore = (name: ResourceName) => Object.hasOwn(from.entries, name);
    const contentOf = (manifest: Manifest, name: ResourceName) =>
        parts.get(manifest.entries[name]?.hash ?? "");
    return {
        revision: revision.number,
        baseVersion: revision.baseVersion,
        headVersion: from.version,
        added: names.filter(name => !existsBefore(name)),
        removed,
        changed: names
            .filter(name => existsBefore(name) && from.entries[name]?.hash !== to.entries[name]?.hash)
            .map(name => ({ name, fields: diffFields(contentOf(from, name), contentOf(to, name)) })),
    };
}

/** Compares two JSON values field by field. */
export function diffFields(before: unknown, after: unknown, path = ""): readonly FieldDifference[] {
    if (before !== undefined && after !== undefined && canonicalJson(before) === canonicalJson(after)) {
        return [];
    }
    if (
        !isObjectOrArray(before) ||
        !isObjectOrArray(after) ||
        Array.isArray(before) !== Array.isArray(after)
    ) {
        return [{ path, before, after }];
    }
    const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
    return keys.flatMap(key => diffFields(before[key], after[key], path === "" ? key : `${path}.${key}`));
}

function isObjectOrArray(value: unknown): value is Readonly<Record<string, unknown>> {
    return typeof value === "object" && value !== null;
}

export const ComparisonStep = {
    ReadRevision: "readRevision",
    ReadHead: "readHead",
    ReadManifest: "readManifest",
    ReadHeadManifest: "readHeadManifest",
    ReadParts: "readParts",
} as const;
export type ComparisonStep = (typeof ComparisonStep)[keyof typeof ComparisonStep];

export interface ComparisonState {
    readonly step: ComparisonStep;
    readonly number: number;
    readonly revision?: Revision;
    readonly head?: Head;
    /** Manifest of the revision. */
    readonly to?: Manifest;
    /** Manifest of the accepted version; empty before the first. */
    readonly from: Manifest;
    /** Decoded content of the parts read so far, by hash. */
    readonly parts: ReadonlyMap<string, unknown>;
    /** Hashes of the parts not read yet. */
    readonly remainingHashes: readonly string[];
}

export type ComparisonProgress = Progress<ComparisonState, RevisionDifference>;

/** Starts comparing a revision with the accepted version. */
export function startComparison(revision: number): ComparisonProgress {
    const state: ComparisonState = {
        step: ComparisonStep.ReadRevision,
        number: revision,
        from: emptyManifest,
        parts: new Map(),
        remainingHashes: [],
    };
    return pending(state, { operation: PlatformOperation.ReadRow, key: revisionKey(revision) });
}

export function advanceComparison(state: ComparisonState, result: PlatformResult): ComparisonProgress {
    return handlers[state.step](state, result);
}

const handlers = {
    [ComparisonStep.ReadRevision]: handleRevision,
    [ComparisonStep.ReadHead]: handleHead,
    [ComparisonStep.ReadManifest]: handleManifest,
    [ComparisonStep.ReadHeadManifest]: handleHeadManifest,
    [ComparisonStep.ReadParts]: handlePart,
} satisfies Record<ComparisonStep, (state: ComparisonState, result: PlatformResult) => ComparisonProgress>;

function readObject(hash: string): PlatformRequest {
    return { operation: PlatformOperation.ReadObject, hash };
}

function handleRevision(state: ComparisonState, result: PlatformResult): ComparisonProgress {
    if (result.answer !== PlatformAnswer.Row) {
        return finished(Left(platformProblem(result, `revision ${state.number}`)));
    }
    const next = { ...state, step: ComparisonStep.ReadHead, revision: result.row as Revision };
    return pending(next, { operation: PlatformOperation.ReadRow, key: headKey });
}

function handleHead(state: ComparisonState, result: PlatformResult): ComparisonProgress {
    if (result.answer !== PlatformAnswer.Row && result.answer !== PlatformAnswer.Missing) {
        return finished(Left(platformProblem(result, "the head row")));
    }
    const head = result.answer === PlatformAnswer.Row ? { head: result.row as Head } : {};
    const next = { ...state, step: ComparisonStep.ReadManifest, ...head };
    return pending(next, readObject((state.revision as Revision).manifestHash));
}

function handleManifest(state: ComparisonState, result: PlatformResult): ComparisonProgress {
    const { baseVersion, manifestHash } = state.revision as Revision;
    return decodeManifest(result, baseVersion + 1, manifestHash).caseOf({
        Left: reason => finished(Left(reason)),
        Right: to =>
            state.head === undefined
                ? readNextPart(withRemainingHashes({ ...state, to }))
                : pending(
                      { ...state, step: ComparisonStep.ReadHeadManifest, to },
                      readObject(state.head.manifestHash),
                  ),
    });
}

function handleHeadManifest(state: ComparisonState, result: PlatformResult): ComparisonProgress {
    const { version, manifestHash } = state.head as Head;
    return decodeManifest(result, version, manifestHash).caseOf({
        Left: reason => finished(Left(reason)),
        Right: from => readNextPart(withRemainingHashes({ ...state, from })),
    });
}

function decodeManifest(result: PlatformResult, version: number, hash: string) {
    return result.answer === PlatformAnswer.Object
        ? validateManifest(parseJson(result.bytes), version, hash)
        : Left(platformProblem(result, `the manifest of version ${version}`));
}

/** Selects the parts to read: only changed resources that exist on both sides are compared by content. */
function withRemainingHashes(state: ComparisonState): ComparisonState {
    const to = state.to as Manifest;
    const hashes = Object.keys(diffManifests(state.from, to).changed).flatMap(name => {
        const before = state.from.entries[name]?.hash;
        const after = to.entries[name]?.hash;
        return before === undefined || after === undefined || before === after ? [] : [before, after];
    });
    return { ...state, remainingHashes: [...new Set(hashes)] };
}

function readNextPart(state: ComparisonState): ComparisonProgress {
    const [hash] = state.remainingHashes;
    return hash === undefined
        ? finished(
              Right(
                  compareManifests(state.revision as Revision, state.from, state.to as Manifest, state.parts),
              ),
          )
        : pending({ ...state, step: ComparisonStep.ReadParts }, readObject(hash));
}

function handlePart(state: ComparisonState, result: PlatformResult): ComparisonProgress {
    const [hash, ...remainingHashes] = state.remainingHashes as [string, ...string[]];
    if (result.answer !== PlatformAnswer.Object) {
        return finished(Left(platformProblem(result, `part ${hash}`)));
    }
    if (contentHash(result.bytes) !== hash) {
        const message = `part ${hash} in the object store does not match its hash`;
        return finished(Left(problem(ProblemCode.HashMismatch, message)));
    }
    const parts = new Map(state.parts).set(hash, parseJson(result.bytes));
    return readNextPart({ ...state, remainingHashes, parts });
}
