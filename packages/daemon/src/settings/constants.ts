/** Limits of the settings. */

/** Minimum length of a token or key in characters. Shorter ones could be guessed. */
export const minSecretLength = 16;
export const maxSecretLength = 512;
/** Maximum number of valid tokens or keys of one purpose: the current one and its successor during a rotation. */
export const maxSecrets = 2;
export const maxHostNameLength = 253;
export const maxPeers = 64;
/** Maximum of every setting that is a time, in milliseconds. */
export const maxSettingMs = 600_000;
export const maxRetryBurst = 1_000;
/** Range of the link bandwidth in megabits per second: from an old radio link to 1000 times a common network card. */
export const minLinkMbps = 0.1;
export const maxLinkMbps = 1_000_000;
/** Lowest freshness limit, in milliseconds. Below it, hosts would take over reads whose answer is on its way. */
export const minFreshnessMs = 1_000;
