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
