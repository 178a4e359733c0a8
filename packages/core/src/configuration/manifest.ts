import type { ResourceName } from "./resource.js";

/** One resource of a version: the hash of its bytes, what it refers to and who needs it. */
export interface ManifestEntry {
    readonly hash: string;
    readonly references: readonly ResourceName[];
    /** Services whose hosts need the resource; `*` stands for every host that accepts outside callers. */
    readonly neededBy: readonly string[];
}

/** The list of all resources of one version. A version has exactly one manifest. */
export interface Manifest {
    readonly version: number;
    readonly entries: Readonly<Record<ResourceName, ManifestEntry>>;
}

/** Bytes of resources by their hash. */
export type Parts = ReadonlyMap<string, Uint8Array>;
