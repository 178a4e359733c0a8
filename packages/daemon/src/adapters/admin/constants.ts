/** Limits of the admin listener. */

/** Largest body of submitted answers, in bytes. */
export const maxBodyBytes = 4_194_304;
/** Largest body of an announcement or of a command other than a submission, in bytes. */
export const maxSmallBodyBytes = 16_384;
/**
 * Bytes beyond a body limit that are read and discarded, because many clients read the response only after they
 * have sent the whole body.
 */
export const maxDiscardedBytes = 4_194_304;
/** Time for a complete request to arrive, in milliseconds. */
export const requestTimeoutMs = 30_000;
/** Time for a command to finish, in milliseconds. */
export const commandTimeoutMs = 60_000;
/** Authenticated requests that are processed at the same time. */
export const maxConcurrentRequests = 64;
/** Open connections, including those of health checks and monitoring. */
export const maxAdminConnections = 512;
/** Longest name of an operator, in characters. */
export const maxOperatorNameLength = 128;
/** Names with an entry of their own in one map of counts or spans; further names are counted as `other`. */
export const maxNameLabels = 512;
/** Largest duration that a histogram records, in microseconds; longer ones are recorded as this value. */
export const maxSpanDurationMicroseconds = 3_600_000_000;
/** Services with a queue histogram of their own, about 12 KB each; further ones are counted as `other`. */
export const maxServiceLabels = 128;
/** Spans buffered while the histogram library loads; further ones are not counted. */
export const maxBufferedSpans = 1_024;
