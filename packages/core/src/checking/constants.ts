/** Limits of files that operators write. */

/** Largest file in characters; equal to the largest body that the admin listener accepts. */
export const maxTextLength = 4_194_304;
/** Deepest nesting of arrays and objects. Deeper nesting can exhaust the stack of the parser. */
export const maxNestingDepth = 32;
/** Mistakes that are listed; further ones are only counted. */
export const maxMistakes = 200;
/** Characters of an invalid value that a message shows. */
export const maxDisplayedLength = 80;
/** Largest edit distance of a suggested name. */
export const maxSuggestionDistance = 3;
/** Valid names that are compared for one suggestion. */
export const maxSuggestionCandidates = 2_000;

export const maxNameLength = 63;
export const maxPathLength = 1_024;
export const maxUrlLength = 2_048;
export const maxPort = 65_535;
