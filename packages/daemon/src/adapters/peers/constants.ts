/** Periods and bounds of the links between daemons. Names carry the unit. */

export const heartbeatMs = 1_000;
/** Silence after which a link is closed and opened again. */
export const silenceMs = 3_000;
/** Time for a handshake from the connect to the proof. */
export const handshakeMs = 2_000;
/** First wait before connecting again; doubles with each failure. */
export const minBackoffMs = 200;
export const maxBackoffMs = 5_000;
/** Spread of the first connects of a herd of starting daemons. */
export const joinJitterMs = 1_000;
/** Links below which the addresses of the settings and of the domain row are tried too. */
export const fewLinks = 2;
/** Age at which a link that this host opened, and that is no neighbour, is closed: time for a digest and its answer. */
export const unwantedLinkMs = 5_000;
export const maxLinks = 256;
/** Handshakes in progress that others began. */
export const maxPendingHandshakes = 64;
/** Largest message. A manifest of 6,000 entries takes less than 1 MiB. */
export const maxMessageBytes = 4 * 1_024 * 1_024;
/**
 * Messages from this size on are compressed, in bytes. Routes of a version differ by little but their names and hashes, and
 * a host with a link of 5 Mbit/s waits half a second for 1,200 of them. Small messages would only cost processor time.
 */
export const compressedMessageBytes = 8_192;
/** Of zlib, 1 to 9. Level 9 takes twice as long and saves 2% of a configuration. */
export const compressionLevel = 1;
export const maxHandshakeBytes = 1_024;
/** Bytes waiting on a slow link before it is closed. */
export const maxBufferedBytes = 2 * maxMessageBytes;
/** Malformed messages on one link before it is closed. */
export const maxMalformed = 3;
export const nonceBytes = 24;

/** Bounds of what a message may contain. */
export const maxNameLength = 255;
export const maxReasonLength = 2_048;
export const maxRecordsPerMessage = 2_048;
export const maxOffers = 256;
export const maxSteps = 64;
export const maxParts = 16_384;
export const maxEntries = 65_536;
export const maxReferences = 4_096;
/** Incarnations above this leave no room for the next ones. The year 2255 in milliseconds. */
export const maxIncarnation = 9_000_000_000_000;
/** Path of the upgrade request. */
export const peerPath = "/v1/peer";
