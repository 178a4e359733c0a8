import { distance } from "fastest-levenshtein";
import { maxNameLength, maxSuggestionCandidates, maxSuggestionDistance } from "./constants.js";

/**
 * Returns the closest of the valid names, or undefined when none is close.
 *
 * @example
 * ```ts
 * suggest("slot-boking", ["slot-booking", "load-ledger"]); // "slot-booking"
 * ```
 */
export function suggest(name: string, valid: Iterable<string>): string | undefined {
    if (name.length > maxNameLength) {
        return undefined;
    }
    let closest: { name: string; edits: number } | undefined;
    let candidates = 0;
    for (const candidate of valid) {
        candidates += 1;
        if (candidates > maxSuggestionCandidates) {
            break;
        }
        const edits = distance(name.toLowerCase(), candidate.toLowerCase());
        const limit = Math.min(maxSuggestionDistance, Math.ceil(candidate.length / 3));
        if (edits <= limit && edits < (closest?.edits ?? Infinity)) {
            closest = { name: candidate, edits };
        }
    }
    return closest?.name;
}
