import { canonicalJson } from "../configuration/canonical.js";
import type { Parts } from "../configuration/manifest.js";
import { maxKeptBytes, maxKeptSteps } from "../constants.js";
import type { Part, UpdateStep } from "../messages/peerMessage.js";

/** The latest consecutive update steps, oldest first, and their parts. Peers that are behind are served from it. */
export interface UpdateLog {
    readonly steps: readonly UpdateStep[];
    readonly parts: Parts;
    /** Size of the deltas and parts. */
    readonly bytes: number;
}

export const emptyUpdateLog: UpdateLog = { steps: [], parts: new Map(), bytes: 0 };

/**
 * Appends consecutive steps and drops the oldest ones beyond the limits of count and size.
 * If the new steps do not continue the log, the earlier ones are dropped, because a peer needs steps without a gap.
 */
export function appendSteps(log: UpdateLog, added: readonly UpdateStep[], parts: Parts): UpdateLog {
    const last = log.steps.at(-1);
    const isContiguous = last === undefined || last.version === added[0]?.base;
    let steps = [...(isContiguous ? log.steps : []), ...added].slice(-maxKeptSteps);
    const availableParts = new Map([...log.parts, ...parts]);
    let result = buildLog(steps, availableParts);
    while (result.bytes > maxKeptBytes && steps.length > 0) {
        steps = steps.slice(1);
        result = buildLog(steps, availableParts);
    }
    return result;
}

/** Adds parts that arrived after their step, unless the log would exceed its size limit. */
export function addLoggedParts(log: UpdateLog, parts: Parts): UpdateLog {
    const result = buildLog(log.steps, new Map([...log.parts, ...parts]));
    return result.bytes > maxKeptBytes ? log : result;
}

const stepSizes = new WeakMap<UpdateStep, number>();

function stepSize(step: UpdateStep): number {
    const size = stepSizes.get(step) ?? canonicalJson(step).length;
    stepSizes.set(step, size);
    return size;
}

function buildLog(steps: readonly UpdateStep[], availableParts: Parts): UpdateLog {
    const parts = new Map<string, Uint8Array>();
    let bytes = steps.reduce((sum, step) => sum + stepSize(step), 0);
    for (const entry of steps.flatMap(step => Object.values(step.delta.changed))) {
        const part = availableParts.get(entry.hash);
        if (part !== undefined && !parts.has(entry.hash)) {
            parts.set(entry.hash, part);
            bytes += part.length;
        }
    }
    return { steps, parts, bytes };
}

/** Logged steps from the given version to the newest one; `undefined` when none starts there. */
export function stepsSince(log: UpdateLog, version: number): readonly UpdateStep[] | undefined {
    const start = log.steps.findIndex(step => step.base === version);
    return start < 0 ? undefined : log.steps.slice(start);
}

/** Parts that the steps introduce and that the last version still uses. */
export function partsOfSteps(steps: readonly UpdateStep[], availableParts: Parts): readonly Part[] {
    const hashByName = new Map<string, string>();
    for (const step of steps) {
        step.delta.removed.forEach(name => hashByName.delete(name));
        Object.entries(step.delta.changed).forEach(([name, entry]) => hashByName.set(name, entry.hash));
    }
    return [...new Set(hashByName.values())].flatMap(hash => {
        const bytes = availableParts.get(hash);
        return bytes === undefined ? [] : [{ hash, bytes }];
    });
}
