/** Limits and periods shared by decisions. Names carry the unit. */

export const defaultShare = 1;
export const defaultDrainSeconds = 30;
export const defaultColdStartMs = 0;
export const defaultDeadlineMs = 5_000;
export const defaultMaxBodyBytes = 1_048_576;

export const defaultRouteAttempts = 2;
/** The limits of the listeners themselves, in bytes and milliseconds. */
export const defaultLimits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: defaultMaxBodyBytes,
    headerTimeoutMs: 10_000,
    idleTimeoutMs: 5_000,
};

/** Partner of the callers that belong to no partner. */
export const internalPartner = "internal";

/** Changes that the head row names, so that the loser of a race learns which change won. */
export const headHistoryLength = 32;

/** Attempts to find a free revision number before a submission gives up. */
export const maxRevisionNumberAttempts = 16;

/** Reads of the head row that a writer makes to learn whether its lost write took effect. */
export const maxReadBackAttempts = 5;

/** Update steps that a host keeps, to bring a peer forward without a snapshot. */
export const maxKeptSteps = 64;

/** Size of the kept steps with their parts, in bytes. The memory of a daemon is bounded to 64 MB. */
export const maxKeptBytes = 8_388_608;

/** Snapshots that a host serves at a time, so that a rejoining failure domain does not overload a relay. */
export const maxSnapshotsInProgress = 16;

/** Peers that wait for a snapshot; further ones are referred to other neighbours. */
export const maxSnapshotsWaiting = 64;

/** Time after which a snapshot that was not confirmed no longer counts as in progress, in milliseconds. */
export const snapshotDeadlineMs = 5_000;

/** Time after which a request to a peer or the object store is repeated elsewhere, in milliseconds. */
export const fetchDeadlineMs = 2_500;

/** Delay before the sources of a part or version are tried again after all of them failed, in milliseconds. */
export const fetchRetryMs = 1_000;

/**
 * Longest wait of a host without a version for a peer that holds one, before it reads the manifest from the object
 * store, in milliseconds. Without it 200 hosts that restart at once exceed the platform's 2,000 reads a second.
 */
export const storePatienceMs = 2_000;

/**
 * Reads of parts from the object store that a host without a version has in flight. When 1,000 hosts
 * restart at once, 2,000 reads wait at the platform, which answers as many in 1 s, below the read deadline of 2 s.
 */
export const maxFirstPartReads = 2;

/** Requests for parts in flight at a time. */
export const maxPartsInFlight = 256;

/** Parts that the host which reads a version from the object store fetches only to forward them. */
export const maxForwardedParts = 256;

/** Refused manifests that a host remembers, so that it does not fetch them again. */
export const maxRememberedRejections = 16;

/** Pause of the process above which a host is fenced, in milliseconds. */
export const longestPauseMs = 3_000;

/** Time after a pause in which a peer or the platform can confirm the version, in milliseconds. */
export const confirmationDeadlineMs = 5_000;

/** Time after a pause in which messages that arrived during it are delivered, in milliseconds. */
export const bufferedMessagesMs = 200;

/** Time that a starting host gives its peers although it holds the version of the head row, in milliseconds. */
export const peerAnswerGraceMs = 1_000;

/** Time in which a starting host collects its peers' answers while the platform is unreachable, in milliseconds. */
export const peerAnswersDeadlineMs = 5_000;

/** Time after which a starting host uses the highest version that it found, in milliseconds. */
export const joiningDeadlineMs = 30_000;

/** Period at which an unanswered watermark request is repeated, in milliseconds. */
export const watermarkRetryMs = 1_000;
