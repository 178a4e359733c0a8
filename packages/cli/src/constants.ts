/** Defaults and limits of the command-line tool. */

export const defaultAdminUrl = "http://127.0.0.1:8082";
/** Time for a daemon to respond, in milliseconds. Longer than the daemon's own `commandTimeoutMs`. */
export const requestTimeoutMs = 70_000;
/** Time between two requests for the hosts while `--wait` is waiting, in milliseconds. */
export const pollIntervalMs = 500;
export const defaultWaitSeconds = 60;
/** Maximum number of hosts listed in the message about hosts that lag behind. */
export const maxListedHosts = 10;
