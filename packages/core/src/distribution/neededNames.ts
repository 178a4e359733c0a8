import type { HeldConfiguration } from "../configuration/heldConfiguration.js";
import { neededResourceNames, type Interest } from "../configuration/interest.js";
import type { Manifest } from "../configuration/manifest.js";
import type { ResourceName } from "../configuration/resource.js";

const namesByManifest = new WeakMap<Manifest, WeakMap<Interest, readonly ResourceName[]>>();

/** Caches `neededResourceNames` for each manifest and interest, because it is called for every input. */
export function cachedNeededNames(manifest: Manifest, interest: Interest): readonly ResourceName[] {
    const byInterest = namesByManifest.get(manifest) ?? new WeakMap<Interest, readonly ResourceName[]>();
    namesByManifest.set(manifest, byInterest);
    const names = byInterest.get(interest) ?? neededResourceNames(manifest, interest);
    byInterest.set(interest, names);
    return names;
}

/** Interest that each configuration was last found to match. */
const matchedInterests = new WeakMap<HeldConfiguration, Interest>();

/**
 * Whether a configuration holds exactly the resources that its host needs. A match is cached, because this is called
 * for every input.
 */
export function matchesInterest(held: HeldConfiguration, interest: Interest): boolean {
    if (matchedInterests.get(held) === interest) {
        return true;
    }
    const needed = cachedNeededNames(held.manifest, interest);
    const matches = needed.length === held.resources.size && needed.every(name => held.resources.has(name));
    if (matches) {
        matchedInterests.set(held, interest);
    }
    return matches;
}
