/** Time limits and size limits of the membership protocol. */

/** Time that a suspected host has to refute the suspicion before it is considered failed. */
export const refutationTimeoutMs = 3_000;
/** Time without a link to a neighbour, during which the adapter reconnects, before the neighbour is suspected. */
export const reconnectGraceMs = 1_000;
/** Minimum time between two suspicions of a host by the same neighbour, so that a refutation is not undone at once. */
export const suspicionIntervalMs = 10_000;
/** Retention of the records of failed and left hosts, so that delayed older records of them are ignored. */
export const tombstoneTtlMs = 600_000;
/** Limit of retained records of failed and left hosts: seven failure domains of the largest planned size. */
export const maxTombstones = 8_192;
/** Limit of host records: twice the planned number of hosts. */
export const maxHostRecords = 65_536;
export const digestBucketCount = 64;
/**
 * Approximate limit of records in one anti-entropy round while most buckets agree. With 30,000 hosts, records in
 * transit make some buckets differ in every round; exchanging all of them would exceed the byte budget.
 */
export const maxRepairRecordsPerRound = 1_000;
/** Time behind an announced version after which a host publishes its record. */
export const lagThresholdMs = 2_000;
/** Limit of the random delay after `lagThresholdMs`. A version that is delayed everywhere makes all hosts lag at once. */
export const maxLagJitterMs = 60_000;
/** Minimum time between two records of a host that differ only in the version. */
export const minVersionIntervalMs = 1_000;
/** Target rate of records that differ only in the version, over the whole deployment. */
export const versionPublicationsPerSecond = 20;
/**
 * Number of hosts in each failure domain that read the head row, in a fixed order: the first one reads, and each further
 * one takes over if those before it are not served or do not run. The platform may turn away a third of the hosts.
 */
export const headReadersPerDomain = 3;
/** Number of relays in each failure domain and in each region. */
export const relaysPerGroup = 2;
/** Number of ring successors to which each host keeps a link. */
export const ringSuccessorCount = 2;
/** Time with a link within its failure domain after which a starting host knows the other members. */
export const settleMs = 300;
/** Time after its start at which a host takes roles if the platform lists no other host of its failure domain. */
export const settleAloneMs = 700;
/** The same for a host that has no link to the listed hosts, or could not read of them. */
export const settleWithoutPeersMs = 2_500;
