/** Bytes of a request body that are kept, so that the call can be sent again. */
export const keptBodyBytes = 65_536;
/**
 * Bytes of a request body that are sent to another daemon before it has admitted the call: three packets beside the head.
 * More would cross the link in vain for each host that refuses the call.
 */
export const eagerBodyBytes = 4_096;
/** Largest body that is received whole before its call takes a slot, in bytes; others are passed on as they arrive. */
export const maxReceivedBodyBytes = 1_048_576;
/** Bytes of all such bodies on one daemon: an eighth of the memory that the smallest hosts of the deployments leave it. */
export const maxReceivedBytes = 16_777_216;
/** Calls in progress on one daemon, of callers and of other daemons together. */
export const maxCallsInProgress = 8_192;
/** Headers of one request. */
export const maxHeaders = 100;
/** Longest time that a call waits for a slot, in milliseconds. Shorter than `hopSilenceMs`. */
export const maxQueueMs = 2_000;
/** Silence after which a hop is given up: the other daemon repeats its 102 every `progressMs`. */
export const hopSilenceMs = 3_000;
export const progressMs = 1_000;
/** Longest pause within a response body, in milliseconds. */
export const bodySilenceMs = 5_000;
/** Time in which a hop's HMAC must arrive, in milliseconds; allows for clocks that differ. */
export const hopValidityMs = 10_000;
/** Longer than a hop can stay valid and queued, so that a barred call cannot start later. */
export const barMs = 30_000;
/**
 * Time from the read of a call until its start, in milliseconds. After a longer one, as after a pause of the process, a bar
 * may have ended that was set before the hop was read, by a clock that differs as much as a hop allows.
 */
export const startLimitMs = barMs - 2 * hopValidityMs;
/** Time to wait for an answer on a call's fate, in milliseconds. */
export const fateWaitMs = 1_000;
/** Connections to one other daemon. */
export const hopConnections = 128;
/** Idle time of pooled connections, in milliseconds; the listeners keep theirs for 30 s. */
export const poolIdleMs = 4_000;
/** Time for a connection to another daemon or a backend server: twenty round trips between regions. */
export const connectTimeoutMs = 500;
/**
 * Exchanges that one connection carries. The ids of all of them are kept, some 70 bytes each; web servers close their
 * kept connections after as many by default.
 */
export const maxExchangesPerConnection = 1_000;
/**
 * Bytes that may come of a response without any of its body: before its head is complete, and between two parts of a
 * body. Four times what the HTTP library takes for the headers of one head; 600 s of a 102 each second are 16 KB.
 */
export const maxBytesWithoutBody = 65_536;
/** Largest response that is passed on, in bytes: eight times the largest that was tested. */
export const maxResponseBytes = 1_073_741_824;
/** Bytes of a refusal that are read, so that its connection can be kept; a new one costs less than more of them. */
export const maxRefusalBytes = 65_536;
/** Time for the rest of a refusal whose head has come, in milliseconds. */
export const refusalRestMs = 200;
/** Pools are closed when unused for this time, in milliseconds. */
export const poolUnusedMs = 60_000;
/** Gap between the clock's ticks of 100 ms above which the process counts as having been paused, in milliseconds. */
export const stallMs = 250;
/** Hosts that may be asked for a call before its backend server takes it; more only spread an overload. */
export const maxRedirects = 2;
/** Share of the calls that may be passed on so, and how many at once after a quiet time. */
export const redirectLimits = { ratio: 0.5, burst: 20 };
/**
 * Time below which a call is not sent again, in milliseconds. The daemon of the backend server counts the same deadline
 * and may see it pass a tick of the clock before the entry daemon does.
 */
export const leastAttemptMs = 120;
