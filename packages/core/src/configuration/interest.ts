import type { Manifest } from "./manifest.js";
import type { ResourceName } from "./resource.js";

/** What determines the resources that a host needs. */
export interface Interest {
    /** Services whose backend servers run on the host. */
    readonly services: readonly string[];
    /** Whether callers from outside may connect to the host. */
    readonly outsideCallers: boolean;
}

/** Sorted names of the resources that a host needs. */
export function neededResourceNames(manifest: Manifest, interest: Interest): readonly ResourceName[] {
    const consumers = new Set([...interest.services, ...(interest.outsideCallers ? ["*"] : [])]);
    return Object.keys(manifest.entries)
        .filter(name => manifest.entries[name]?.neededBy.some(consumer => consumers.has(consumer)))
        .sort();
}
