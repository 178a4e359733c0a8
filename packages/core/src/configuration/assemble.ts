import { Left, Right, type Either } from "purify-ts/Either";
import { problem, ProblemCode, type Problem } from "../problem.js";
import { contentHash } from "./canonical.js";
import type { HeldConfiguration } from "./heldConfiguration.js";
import type { Manifest, Parts } from "./manifest.js";
import type { Resource, ResourceName } from "./resource.js";

export interface AssemblyOptions {
    manifest: Manifest;
    manifestHash: string;
    parts: Parts;
    /** Resources that this host needs; the references of each must be among them. */
    needed: readonly ResourceName[];
}

/**
 * Checks a version whole: every needed part is there and matches its hash, and every reference of a
 * needed resource is needed and there as well.
 *
 * @returns the configuration to put in force, or the first problem; nothing is applied in part.
 */
export function assembleConfiguration(options: AssemblyOptions): Either<Problem, HeldConfiguration> {
    const resources = new Map<ResourceName, Resource>();
    const parts = new Map<string, Uint8Array>();
    for (const name of options.needed) {
        const part = readPart(options, name);
        if (part.isLeft()) {
            return Left(part.extract() as Problem);
        }
        const { hash, bytes } = part.extract() as NeededPart;
        parts.set(hash, bytes);
        resources.set(name, JSON.parse(Buffer.from(bytes).toString("utf8")) as Resource);
    }
    const dangling = findDanglingReference(options);
    if (dangling !== undefined) {
        return Left(dangling);
    }
    return Right({ manifest: options.manifest, manifestHash: options.manifestHash, resources, parts });
}

interface NeededPart {
    readonly hash: string;
    readonly bytes: Uint8Array;
}

function readPart(options: AssemblyOptions, name: ResourceName): Either<Problem, NeededPart> {
    const entry = options.manifest.entries[name];
    const where = `version ${options.manifest.version}`;
    if (entry === undefined) {
        return Left(
            problem(ProblemCode.DanglingReference, `resource "${name}" is not in the manifest`, { where }),
        );
    }
    const bytes = options.parts.get(entry.hash);
    if (bytes === undefined) {
        return Left(
            problem(ProblemCode.NotFound, `part ${entry.hash} of resource "${name}" is missing`, { where }),
        );
    }
    if (contentHash(bytes) !== entry.hash) {
        return Left(
            problem(ProblemCode.HashMismatch, `part of resource "${name}" does not match ${entry.hash}`, {
                where,
            }),
        );
    }
    return Right({ hash: entry.hash, bytes });
}

function findDanglingReference(options: AssemblyOptions): Problem | undefined {
    const needed = new Set(options.needed);
    for (const name of options.needed) {
        const reference = options.manifest.entries[name]?.references.find(target => !needed.has(target));
        if (reference !== undefined) {
            const message = `resource "${name}" refers to "${reference}", which this host lacks`;
            return problem(ProblemCode.DanglingReference, message, {
                where: `version ${options.manifest.version}`,
            });
        }
    }
    return undefined;
}
