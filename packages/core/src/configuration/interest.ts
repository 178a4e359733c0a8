import type { Manifest } from "./manifest.js";
import type { ResourceName } from "./resource.js";

export interface Interest {
    /** Services whose backend servers run on the host. */
    readonly services: readonly string[];
    /** Whether callers from outside may connect to the host. */
    readonly outsideCallers: boolean;
}

/** Names of the resources that a host needs, sorted. */
export function neededResources(manifest: Manifest, interest: Interest): readonly ResourceName[] {
    const users = new Set([...interest.services, ...(interest.outsideCallers ? ["*"] : [])]);
    return Object.keys(manifest.entries)
        .filter(name => manifest.entries[name]?.neededBy.some(user => users.has(user)))
        .sort();
}
