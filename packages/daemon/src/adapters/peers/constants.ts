/** Intervals, timeouts and limits of the links between daemons. */

export const heartbeatIntervalMs = 1_000;
/** Time without a message after which a link is closed, and then opened again. */
export const heartbeatTimeoutMs = 3_000;
/** Time without a message from the other side after which the dialer gives up connecting or the handshake. */
export const dialTimeoutMs = heartbeatTimeoutMs;
/** The same for the acceptor. Shorter, because anyone who connects takes one of `maxPendingHandshakes`. */
export const handshakeTimeoutMs = 2_000;
/** Delay before the first retry of a connection; doubles with each failure. */
export const minBackoffMs = 200;
export const maxBackoffMs = 5_000;
/**
 * Range of the random delay before the first connection to a candidate address, so that daemons started together do not
 * all connect at once.
 */
export const firstDialJitterMs = 500;
/** The same for a seed. A starting host depends on its seeds, which are in its own failure domain. */
export const seedDialJitterMs = 200;
/** With fewer links than this, the addresses in the settings and in the domain row are dialed too. */
export const minLinks = 2;
/** Age at which a dialed link to a host that is not a neighbour is closed. Leaves time for a digest and its reply. */
export const nonNeighbourLinkMs = 5_000;
export const maxLinks = 256;
/** Limit of the incoming handshakes in progress. */
export const maxPendingHandshakes = 64;
/** Limit of an encoded message. A manifest of 6,000 entries takes less than 1 MiB. */
export const maxMessageBytes = 4 * 1_024 * 1_024;
/**
 * Messages of at least this size are compressed. The routes of a version compress well because they differ in little more
 * than their names and hashes. Uncompressed, 1,200 of them take half a second over a 5 Mbit/s link. Compressing small
 * messages costs CPU time for little gain.
 */
export const compressionThresholdBytes = 8_192;
/** zlib level, 1 to 9. Level 9 takes twice as long and makes a configuration only 2% smaller. */
export const compressionLevel = 1;
export const maxHandshakeBytes = 1_024;
/** A link with more unsent bytes than this is closed. */
export const maxBufferedBytes = 2 * maxMessageBytes;
/** Number of malformed messages at which a link is closed. */
export const maxMalformedMessages = 3;
export const nonceBytes = 24;

/** Limits of the contents of a message. */
export const maxNameLength = 255;
export const maxReasonLength = 2_048;
export const maxRecordsPerMessage = 2_048;
export const maxOffers = 256;
export const maxUpdateSteps = 64;
export const maxParts = 16_384;
export const maxManifestEntries = 65_536;
export const maxReferences = 4_096;
/** The year 2255 in milliseconds. Larger incarnations would leave no room for later ones. */
export const maxIncarnation = 9_000_000_000_000;
/** Path of the upgrade request. */
export const peerPath = "/v1/peer";
