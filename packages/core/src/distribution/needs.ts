import type { HeldConfiguration } from "../configuration/heldConfiguration.js";
import { neededResources, type Interest } from "../configuration/interest.js";
import type { Manifest } from "../configuration/manifest.js";
import type { ResourceName } from "../configuration/resource.js";

const results = new WeakMap<Manifest, WeakMap<Interest, readonly ResourceName[]>>();

/** `neededResources` computed once for a manifest and interest, because every input asks for it. */
export function neededNames(manifest: Manifest, interest: Interest): readonly ResourceName[] {
    const byInterest = results.get(manifest) ?? new WeakMap<Interest, readonly ResourceName[]>();
    results.set(manifest, byInterest);
    const names = byInterest.get(interest) ?? neededResources(manifest, interest);
    byInterest.set(interest, names);
    return names;
}

/** Interest with which a configuration was last found to hold all that its host needs and nothing else. */
const fitting = new WeakMap<HeldConfiguration, Interest>();

/** Whether a configuration holds exactly what its host needs; looks at each name once, because every input asks. */
export function holdsNeeded(held: HeldConfiguration, interest: Interest): boolean {
    if (fitting.get(held) === interest) {
        return true;
    }
    const needed = neededNames(held.manifest, interest);
    const fits = needed.length === held.resources.size && needed.every(name => held.resources.has(name));
    if (fits) {
        fitting.set(held, interest);
    }
    return fits;
}
