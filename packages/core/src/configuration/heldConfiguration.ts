import type { Manifest, Parts } from "./manifest.js";
import type { Resource, ResourceName } from "./resource.js";

/** A version that was checked whole. It is replaced in one assignment and never changed. */
export interface HeldConfiguration {
    readonly manifest: Manifest;
    readonly manifestHash: string;
    readonly resources: ReadonlyMap<ResourceName, Resource>;
    readonly parts: Parts;
}

/** What the host holds, and the last version that it refused. */
export interface ConfigurationState {
    readonly held: HeldConfiguration | undefined;
    readonly rejected?: { readonly version: number; readonly reason: string };
    /** Manifest hashes of refused versions, oldest first. */
    readonly rejectedHashes?: readonly string[];
}
