import { canonicalJson } from "../configuration/canonical.js";
import type { Parts } from "../configuration/manifest.js";
import { maxKeptBytes, maxKeptSteps } from "../constants.js";
import type { Part, UpdateStep } from "../messages/peerMessage.js";

/** The last steps, oldest first, with the parts that they brought. */
export interface KeptSteps {
    readonly steps: readonly UpdateStep[];
    readonly parts: Parts;
    /** Size of the deltas and parts. */
    readonly bytes: number;
}

export const noKeptSteps: KeptSteps = { steps: [], parts: new Map(), bytes: 0 };

/**
 * Adds consecutive steps and drops the oldest ones beyond the bounds of number and size.
 * A gap empties what was kept, because a chain must not have one.
 */
export function keepSteps(kept: KeptSteps, added: readonly UpdateStep[], parts: Parts): KeptSteps {
    const last = kept.steps.at(-1);
    const continues = last === undefined || last.version === added[0]?.base;
    let steps = [...(continues ? kept.steps : []), ...added].slice(-maxKeptSteps);
    const known = new Map([...kept.parts, ...parts]);
    let result = measure(steps, known);
    while (result.bytes > maxKeptBytes && steps.length > 0) {
        steps = steps.slice(1);
        result = measure(steps, known);
    }
    return result;
}

/** Adds parts that arrived after their step, unless they exceed the size bound. */
export function keepParts(kept: KeptSteps, parts: Parts): KeptSteps {
    const result = measure(kept.steps, new Map([...kept.parts, ...parts]));
    return result.bytes > maxKeptBytes ? kept : result;
}

const sizes = new WeakMap<UpdateStep, number>();

function sizeOf(step: UpdateStep): number {
    const size = sizes.get(step) ?? canonicalJson(step).length;
    sizes.set(step, size);
    return size;
}

function measure(steps: readonly UpdateStep[], known: Parts): KeptSteps {
    const parts = new Map<string, Uint8Array>();
    let bytes = steps.reduce((sum, step) => sum + sizeOf(step), 0);
    for (const entry of steps.flatMap(step => Object.values(step.delta.changed))) {
        const part = known.get(entry.hash);
        if (part !== undefined && !parts.has(entry.hash)) {
            parts.set(entry.hash, part);
            bytes += part.length;
        }
    }
    return { steps, parts, bytes };
}

/** Steps from the given version to the newest kept one; `undefined` when none starts there. */
export function chainFrom(kept: KeptSteps, version: number): readonly UpdateStep[] | undefined {
    const start = kept.steps.findIndex(step => step.base === version);
    return start < 0 ? undefined : kept.steps.slice(start);
}

/** Parts that a chain brings and that its last version still uses. */
export function partsOfChain(steps: readonly UpdateStep[], known: Parts): readonly Part[] {
    const hashByName = new Map<string, string>();
    for (const step of steps) {
        step.delta.removed.forEach(name => hashByName.delete(name));
        Object.entries(step.delta.changed).forEach(([name, entry]) => hashByName.set(name, entry.hash));
    }
    return [...new Set(hashByName.values())].flatMap(hash => {
        const bytes = known.get(hash);
        return bytes === undefined ? [] : [{ hash, bytes }];
    });
}
