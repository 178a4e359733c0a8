import { Left, Right, type Either } from "purify-ts/Either";
import { problem, ProblemCode, type Problem } from "../problem.js";
import { contentHash } from "./canonical.js";
import type { HeldConfiguration } from "./heldConfiguration.js";
import type { Manifest, Parts } from "./manifest.js";
import { referencesOf, resourceName, type Resource, type ResourceName } from "./resource.js";
import { decodeResource } from "./resourceValidation.js";

export interface AssemblyOptions {
    manifest: Manifest;
    manifestHash: string;
    parts: Parts;
    /** Resources that this host needs. Every reference of one must be in the list as well. */
    needed: readonly ResourceName[];
}

/**
 * Validates all resources of a version that a host needs: each part is present and matches its hash, and every
 * reference of a needed resource names another needed resource.
 *
 * @returns the configuration to apply, or the first problem; a version is never applied partially.
 */
export function assembleConfiguration(options: AssemblyOptions): Either<Problem, HeldConfiguration> {
    const resources = new Map<ResourceName, Resource>();
    const parts = new Map<string, Uint8Array>();
    for (const name of options.needed) {
        const part = validatePart(options, name);
        if (part.isLeft()) {
            return Left(part.extract() as Problem);
        }
        const { hash, bytes, resource } = part.extract() as ValidatedPart;
        parts.set(hash, bytes);
        resources.set(name, resource);
    }
    const dangling = findDanglingReference(options, resources);
    if (dangling !== undefined) {
        return Left(dangling);
    }
    return Right({ manifest: options.manifest, manifestHash: options.manifestHash, resources, parts });
}

interface ValidatedPart {
    readonly hash: string;
    readonly bytes: Uint8Array;
    readonly resource: Resource;
}

/** Cache of valid parts: consecutive versions share most of their parts, and the bytes of a part never change. */
const validatedParts = new WeakMap<Uint8Array, ValidatedPart>();

function validatePart(options: AssemblyOptions, name: ResourceName): Either<Problem, ValidatedPart> {
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
    const cached = validatedParts.get(bytes);
    if (cached?.hash === entry.hash && resourceName(cached.resource.kind, cached.resource.name) === name) {
        return Right(cached);
    }
    if (contentHash(bytes) !== entry.hash) {
        return Left(
            problem(ProblemCode.HashMismatch, `part of resource "${name}" does not match ${entry.hash}`, {
                where,
            }),
        );
    }
    return decodeResource(name, bytes)
        .map(resource => {
            const part = { hash: entry.hash, bytes, resource };
            validatedParts.set(bytes, part);
            return part;
        })
        .mapLeft(reason => ({ ...reason, where }));
}

/** Checks the references in the resources as well as those in the manifest, which may list fewer. */
function findDanglingReference(
    options: AssemblyOptions,
    resources: ReadonlyMap<ResourceName, Resource>,
): Problem | undefined {
    for (const [name, resource] of resources) {
        const references = [...referencesOf(resource), ...(options.manifest.entries[name]?.references ?? [])];
        const reference = references.find(target => !resources.has(target));
        if (reference !== undefined) {
            const message = `resource "${name}" refers to "${reference}", which is not among the resources that this host needs`;
            return problem(ProblemCode.DanglingReference, message, {
                where: `version ${options.manifest.version}`,
            });
        }
    }
    return undefined;
}
