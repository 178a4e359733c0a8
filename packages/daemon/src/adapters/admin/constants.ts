/** Limits of the admin listener. */

/** Largest body of an operator's request, in bytes. */
export const maxBodyBytes = 4_194_304;
/** Largest body of an announcement or a short command, in bytes. */
export const maxShortBodyBytes = 16_384;
/** Bytes beyond a limit that are read and discarded, so that the client is ready to read the refusal. */
export const maxDiscardedBytes = 4_194_304;
/** Time for a request to arrive whole, in milliseconds. */
export const requestTimeoutMs = 30_000;
/** Time for a command to finish, in milliseconds. */
export const commandDeadlineMs = 60_000;
/** Requests with a token that are worked on at a time. */
export const maxRequestsInProgress = 64;
/** Open connections, health checks and monitoring included. */
export const maxAdminConnections = 512;
/** Longest name of an operator or identifier of a backend server. */
export const maxIdentityLength = 128;
/** Event names and span names that are counted apart; further ones share the name `other`. */
export const maxCountedNames = 512;
/** Largest span duration that a histogram tells apart, in microseconds. */
export const maxSpanMicroseconds = 3_600_000_000;
/** Services whose waits are counted apart, of some 12 KB each; further ones share the name `other`. */
export const maxCountedServices = 128;
/** Spans kept while the histograms are being loaded. */
export const maxEarlySpans = 1_024;
