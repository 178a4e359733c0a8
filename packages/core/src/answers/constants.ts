/** Limits of the values in an answers file. */

export const maxServices = 10_000;
export const maxCallers = 10_000;
export const maxPartners = 1_000;
export const maxOperations = 256;
export const maxSlots = 100_000;
export const maxConnections = 1_000_000;
export const maxDrainSeconds = 3_600;
export const maxColdStartMs = 3_600_000;
/** Limit of connection time-outs and latency objectives, in milliseconds. */
export const maxDurationMs = 3_600_000;
/** 64 GiB, to allow uploads of surveys and plans. */
export const maxOperationBodyBytes = 68_719_476_736;
export const minShare = 0.01;
export const maxShare = 1_000;
export const maxRoutes = 10_000;
export const maxDestinations = 64;
export const maxWeight = 1_000_000;
export const maxRouteAttempts = 16;
export const maxPriority = 100;
/** RFC 1035, section 2.3.4. */
export const maxHostNameLength = 253;
export const maxPrefixLength = 1_024;
