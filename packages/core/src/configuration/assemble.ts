import { Left, Right, type Either } from "purify-ts/Either";
import { problem, ProblemCode, type Problem } from "../problem.js";
import { contentHash } from "./canonical.js";
import type { HeldConfiguration } from "./heldConfiguration.js";
import type { Manifest, Parts } from "./manifest.js";
import { referencesOf, resourceName, type Resource, type ResourceName } from "./resource.js";
import { readResource } from "./resourceChecks.js";

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
        const { hash, bytes, resource } = part.extract() as NeededPart;
        parts.set(hash, bytes);
        resources.set(name, resource);
    }
    const dangling = findDanglingReference(options, resources);
    if (dangling !== undefined) {
        return Left(dangling);
    }
    return Right({ manifest: options.manifest, manifestHash: options.manifestHash, resources, parts });
}

interface NeededPart {
    readonly hash: string;
    readonly bytes: Uint8Array;
    readonly resource: Resource;
}

/** Parts that were found whole. Versions share all but a few of their parts, whose bytes never change. */
const checkedParts = new WeakMap<Uint8Array, NeededPart>();

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
    const known = checkedParts.get(bytes);
    if (known?.hash === entry.hash && resourceName(known.resource.kind, known.resource.name) === name) {
        return Right(known);
    }
    if (contentHash(bytes) !== entry.hash) {
        return Left(
            problem(ProblemCode.HashMismatch, `part of resource "${name}" does not match ${entry.hash}`, {
                where,
            }),
        );
    }
    return readResource(name, bytes)
        .map(resource => {
            const part = { hash: entry.hash, bytes, resource };
            checkedParts.set(bytes, part);
            return part;
        })
        .mapLeft(reason => ({ ...reason, where }));
}

/** The references in the resource itself count as well: the manifest may name fewer. */
function findDanglingReference(
    options: AssemblyOptions,
    resources: ReadonlyMap<ResourceName, Resource>,
): Problem | undefined {
    for (const [name, resource] of resources) {
        const references = [...referencesOf(resource), ...(options.manifest.entries[name]?.references ?? [])];
        const reference = references.find(target => !resources.has(target));
        if (reference !== undefined) {
            const message = `resource "${name}" refers to "${reference}", which this host lacks`;
            return problem(ProblemCode.DanglingReference, message, {
                where: `version ${options.manifest.version}`,
            });
        }
    }
    return undefined;
}
