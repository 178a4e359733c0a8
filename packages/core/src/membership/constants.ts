/** Periods and bounds of the membership. Names carry the unit. */

/** Time for a suspected host to refute before it is considered failed. */
export const refutationMs = 3_000;
/** Time without a link, after the adapter began to reconnect, before a neighbour is suspected. */
export const reconnectGraceMs = 1_000;
/** Least time between two suspicions of one host by the same neighbour, so that a refutation is not undone at once. */
export const suspicionIntervalMs = 10_000;
/** Time for which failed and left hosts are remembered, so that late news of them loses. */
export const tombstoneMs = 600_000;
/** Most failed and left hosts that are remembered; seven failure domains of the largest planned size. */
export const maxTombstones = 8_192;
/** Most host records; twice the planned number of hosts. */
export const maxHostRecords = 65_536;
export const digestBuckets = 64;
/**
 * Records that one round of anti-entropy exchanges while most buckets agree. At 30,000 hosts records in flight
 * make some buckets differ in every round, and all of them would exceed the byte budget.
 */
export const maxRepairRecords = 1_000;
/** Lag behind an announced version after which a host publishes its record. */
export const lagMs = 2_000;
/** Longest random wait beyond `lagMs`: a version that is delayed everywhere makes all hosts lag at once. */
export const maxLagJitterMs = 60_000;
/** Least time between two records that tell only of a new version. */
export const minVersionPublicationMs = 1_000;
/** Records per second that tell only of a new version, over the whole deployment. */
export const versionPublicationsPerSecond = 20;
/** Head readers in each failure domain; the links bring what a reader that fails would have read. */
export const headReadersPerDomain = 1;
/** Relays chosen in each failure domain and region. */
export const hostsPerRole = 2;
export const ringSuccessors = 2;
