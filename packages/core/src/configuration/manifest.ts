import type { ResourceName } from "./resource.js";

/** One resource of a version. */
export interface ManifestEntry {
    /** Hash of the bytes of the resource. */
    readonly hash: string;
    readonly references: readonly ResourceName[];
    /** Services whose hosts need the resource; `*` means every host that accepts outside callers. */
    readonly neededBy: readonly string[];
}

/** The list of all resources of one version. A version has exactly one manifest. */
export interface Manifest {
    readonly version: number;
    readonly entries: Readonly<Record<ResourceName, ManifestEntry>>;
}

/** Bytes of resources by hash. */
export type Parts = ReadonlyMap<string, Uint8Array>;
