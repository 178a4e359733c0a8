/** Limits of texts that operators write. */

/** Largest text in characters; the same as the largest body that the admin listener accepts. */
export const maxTextLength = 4_194_304;
/** Deepest nesting of lists and groups. Deeper texts would exhaust the stack of the parser. */
export const maxNesting = 32;
/** Mistakes listed at once; the rest is counted. */
export const maxMistakes = 200;
/** Characters of a wrong value that a message repeats. */
export const maxShownLength = 80;
/** Names with more edits than this are not suggested. */
export const maxSuggestionDistance = 3;
/** Names looked at for one suggestion. */
export const maxSuggestionCandidates = 2_000;

export const maxNameLength = 63;
export const maxPathLength = 1_024;
export const maxUrlLength = 2_048;
export const maxPort = 65_535;
