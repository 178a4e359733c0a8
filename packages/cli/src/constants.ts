/** Limits and periods of the command-line tool. */

export const defaultAdmin = "http://127.0.0.1:8082";
/** Time for a daemon to answer, in milliseconds. Longer than the deadline of a command in the daemon. */
export const requestTimeoutMs = 70_000;
/** Period at which `--wait` asks for the hosts, in milliseconds. */
export const waitPeriodMs = 500;
export const defaultWaitSeconds = 60;
/** Hosts that a message about lagging hosts names. */
export const maxNamedHosts = 10;
