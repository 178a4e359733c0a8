/** Limits of the settings. */

/** Shortest token or key in characters; shorter ones could be guessed. */
export const minSecretLength = 16;
export const maxSecretLength = 512;
/** Tokens or keys of a kind that are valid at a time: the current one and its successor. */
export const maxSecrets = 2;
export const maxHostNameLength = 253;
export const maxPeers = 64;
/** Longest time that a setting may name, in milliseconds. */
export const maxSettingMs = 600_000;
export const maxRetryBurst = 1_000;
/** Slowest and fastest link of a host, in megabits per second: an old radio link, and a thousand times a common card. */
export const leastLinkMbps = 0.1;
export const maxLinkMbps = 1_000_000;
