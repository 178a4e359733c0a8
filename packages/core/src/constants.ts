/** Limits and periods shared by decisions. Names carry the unit. */

export const defaultShare = 1;
export const defaultDrainSeconds = 30;
export const defaultColdStartMs = 0;
export const defaultDeadlineMs = 5_000;
export const defaultMaxBodyBytes = 1_048_576;

/** Partner of the callers that belong to no partner. */
export const internalPartner = "internal";

/** Changes that the head row names, so that the loser of a race learns which change won. */
export const headHistoryLength = 32;

/** Attempts to find a free revision number before a submission gives up. */
export const maxRevisionNumberAttempts = 16;

/** Reads of the head row that a writer makes to learn whether its lost write took effect. */
export const maxReadBackAttempts = 5;
