/** Maximum size of a request body that is kept in memory so that the call can be sent again. */
export const maxReplayableBodyBytes = 65_536;
/**
 * Bytes of a request body that are sent to another daemon before it has admitted the call: three packets besides the
 * head. More would waste bandwidth on each host that refuses the call.
 */
export const eagerBodyBytes = 4_096;
/** Maximum size of a body that is received whole before its call takes a slot, in bytes; larger bodies are streamed. */
export const maxBufferedBodyBytes = 1_048_576;
/** Maximum size of all such bodies on one daemon: an eighth of the memory that it has on the smallest hosts. */
export const maxTotalBufferedBytes = 16_777_216;
/** Maximum number of calls in progress on one daemon, from callers and from other daemons together. */
export const maxCallsInProgress = 8_192;
/** Maximum number of headers of one request. */
export const maxHeaders = 100;
/** Maximum time that a call waits for a slot, in milliseconds. Must be shorter than `hopSilenceMs`. */
export const maxQueueMs = 2_000;
/** Silence after which a hop fails, in milliseconds. The other daemon sends a 102 every `progressIntervalMs`. */
export const hopSilenceMs = 3_000;
export const progressIntervalMs = 1_000;
/** Maximum age of a hop token on arrival, in milliseconds; includes the difference between the clocks of two hosts. */
export const hopTokenValidityMs = 10_000;
/** Time for which a call stays barred. Longer than a hop can be valid and queued, so that the call cannot start later. */
export const barMs = 30_000;
/**
 * Maximum time between reading a call and starting it, in milliseconds. After a longer delay, for example a pause of the
 * process, a bar that was set before the hop was read may have expired: the clocks of the two hosts may differ by
 * `hopTokenValidityMs`.
 */
export const maxStartDelayMs = barMs - 2 * hopTokenValidityMs;
/** Maximum time to wait for another daemon's answer about the fate of a call, in milliseconds. */
export const maxFateWaitMs = 1_000;
/** Silence after which a probe of an entry daemon counts as unanswered, in milliseconds. */
export const probeSilenceMs = 1_000;
/** How often a call is sent to another daemon if its connection takes so long that what it states is outdated. */
export const maxHopSends = 3;
/** How often a call returns its slot because its caller was not confirmed when it was about to be sent. */
export const maxPutBacks = 1;
/** Maximum number of connections to one other daemon. */
export const maxHopConnections = 128;
/** Idle timeout of pooled connections, in milliseconds. The listeners keep theirs open for 30 s. */
export const poolIdleTimeoutMs = 4_000;
/** Timeout for connecting to another daemon or a backend server: twenty round trips between regions. */
export const connectTimeoutMs = 500;
/**
 * Maximum number of exchanges on one connection. The ids of all of them are kept, about 70 bytes each. Web servers close
 * a keep-alive connection after the same number by default.
 */
export const maxExchangesPerConnection = 1_000;
/**
 * Maximum number of response bytes that carry no body data: before the head is complete, and between two chunks of the
 * body. Four times the header limit of the HTTP library; one 102 per second for 600 s adds up to 16 KB.
 */
export const maxBytesWithoutBody = 65_536;
/**
 * Limit of the client library for the headers or trailers of a response, in bytes. Beyond it, the library creates an error
 * for each further header that it has read already, which takes 200 ms for one read of short headers. `maxBytesWithoutBody`
 * and one read of 64 KiB stay below it, so that the exchange fails first.
 */
export const maxResponseHeadBytes = 262_144;
/** Maximum size of a response that is passed on, in bytes: eight times the largest tested size. */
export const maxResponseBytes = 1_073_741_824;
/** Bytes of a refusal that are read to keep its connection. Reading more costs more than a new connection. */
export const maxRefusalBytes = 65_536;
/** Timeout for the body of a refusal after its head, in milliseconds. */
export const refusalBodyTimeoutMs = 200;
/** Time after which an unused pool is closed, in milliseconds. */
export const unusedPoolTimeoutMs = 60_000;
/** Gap between two clock ticks above which the process counts as paused, in milliseconds. Ticks come every 100 ms. */
export const pauseThresholdMs = 250;
/** Maximum number of hosts tried for a call before a backend server takes it. More would only spread an overload. */
export const maxHostsTried = 2;
/** Redirects to another host: maximum share of the calls, and maximum burst after a period without redirects. */
export const redirectLimits = { ratio: 0.5, burst: 20 };
/**
 * Minimum time left for another attempt, in milliseconds. The daemon of the backend server applies the same deadline and
 * may see it pass one clock tick before the entry daemon does.
 */
export const minAttemptMs = 120;
