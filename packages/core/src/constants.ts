/** Limits, periods and defaults that several modules share. Names include the unit. */

export const defaultShare = 1;
export const defaultDrainSeconds = 30;
export const defaultColdStartMs = 0;
export const defaultDeadlineMs = 5_000;
export const defaultMaxBodyBytes = 1_048_576;

export const defaultRouteAttempts = 2;
/** Defaults of the limits in the answers, equal to the limits of the listeners, in bytes and milliseconds. */
export const defaultLimits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: defaultMaxBodyBytes,
    headerTimeoutMs: 10_000,
    idleTimeoutMs: 5_000,
};

/** Partner of callers whose answers name no partner. */
export const internalPartner = "internal";

/** Accepted changes that the head row lists, so that an operator whose change lost a race learns which one won. */
export const headHistoryLength = 32;

/** Attempts to find a free revision number before a submission gives up. */
export const maxRevisionNumberAttempts = 16;

/** Reads of a row that a writer repeats, because they were stale or to find out whether a lost write took effect. */
export const maxReadBackAttempts = 5;

/** Update steps that a host keeps, so that it can update a peer without a snapshot. */
export const maxKeptSteps = 64;

/** Size of the kept steps including their parts, in bytes. The memory limit of a daemon is 64 MB. */
export const maxKeptBytes = 8_388_608;

/** Snapshots that a host serves concurrently, so that a rejoining failure domain does not overload a relay. */
export const maxSnapshotsInProgress = 16;

/** Peers queued for a snapshot; further ones are redirected to other neighbours. */
export const maxSnapshotsWaiting = 64;

/** Time after which an unconfirmed snapshot no longer counts as in progress, in milliseconds. */
export const snapshotDeadlineMs = 5_000;

/** Time after which a request to a peer or the object store is retried at another source, in milliseconds. */
export const fetchDeadlineMs = 2_500;

/** Delay before the sources of a part or version are retried after all of them failed, in milliseconds. */
export const fetchRetryMs = 1_000;

/**
 * Time that a host without a version waits for a peer that has one before it reads the manifest from the object store,
 * in milliseconds. Without this delay, 200 hosts that restart at once exceed the platform's 2,000 reads per second.
 */
export const objectStoreFallbackDelayMs = 2_000;

/**
 * Concurrent reads of parts from the object store by a host without a version. When 1,000 hosts restart at once,
 * 2,000 reads are queued at the platform, which serves them in 1 s, below the read deadline of 2 s.
 */
export const maxInitialPartReads = 2;

/** Concurrent requests for parts. */
export const maxPartsInFlight = 256;

/** Parts that a host reading a version from the object store fetches only to forward them to peers. */
export const maxForwardedParts = 256;

/** Rejected manifests that a host remembers, so that it does not fetch them again. */
export const maxRememberedRejections = 16;

/** Longest pause of the process after which a host is not fenced, in milliseconds. */
export const longestPauseMs = 3_000;

/** Time after a pause within which a peer or the platform must confirm the version, in milliseconds. */
export const confirmationDeadlineMs = 5_000;

/** Time after a pause in which messages received during the pause may still be delivered, in milliseconds. */
export const bufferedMessageWindowMs = 200;

/** Time that a starting host waits for its peers even if it has the version of the head row, in milliseconds. */
export const peerAnswerGraceMs = 1_000;

/** Time in which a starting host collects responses of its peers while the platform is unreachable, in milliseconds. */
export const peerAnswersDeadlineMs = 5_000;

/** Time after which a starting host uses the highest version that it found, in milliseconds. */
export const joiningDeadlineMs = 30_000;

/** Interval at which an unanswered watermark request is repeated, in milliseconds. */
export const watermarkRetryMs = 1_000;
