import type { Manifest, Parts } from "./manifest.js";
import type { Resource, ResourceName } from "./resource.js";

/** A fully validated version. It is immutable and replaced by a single assignment. */
export interface HeldConfiguration {
    readonly manifest: Manifest;
    readonly manifestHash: string;
    readonly resources: ReadonlyMap<ResourceName, Resource>;
    readonly parts: Parts;
}

/** The configuration that the host holds, and the last version that it rejected. */
export interface ConfigurationState {
    readonly held: HeldConfiguration | undefined;
    readonly rejected?: { readonly version: number; readonly reason: string };
    /** Manifest hashes of permanently rejected versions, oldest first. */
    readonly rejectedHashes?: readonly string[];
}
