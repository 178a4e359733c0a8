import { distance } from "fastest-levenshtein";
import { maxNameLength, maxSuggestionCandidates, maxSuggestionDistance } from "./constants.js";

/**
 * Returns the valid name with the smallest edit distance, or undefined if no name is close enough.
 *
 * @example
 * ```ts
 * suggest("slot-boking", ["slot-booking", "load-ledger"]); // "slot-booking"
 * ```
 */
export function suggest(name: string, validNames: Iterable<string>): string | undefined {
    if (name.length > maxNameLength) {
        return undefined;
    }
    let closest: { name: string; edits: number } | undefined;
    let candidateCount = 0;
    for (const candidate of validNames) {
        candidateCount += 1;
        if (candidateCount > maxSuggestionCandidates) {
            break;
        }
        const edits = distance(name.toLowerCase(), candidate.toLowerCase());
        const maxEdits = Math.min(maxSuggestionDistance, Math.ceil(candidate.length / 3));
        if (edits <= maxEdits && edits < (closest?.edits ?? Infinity)) {
            closest = { name: candidate, edits };
        }
    }
    return closest?.name;
}
