import type { Repetition } from "../configuration/resource.js";

/** The answers file as an operator writes it, and the same answers with every default resolved. */

export interface Answers {
    deployment: string;
    partners?: Record<string, PartnerAnswers>;
    services: Record<string, ServiceAnswers>;
    callers: Record<string, CallerAnswers>;
    /** Routes by host name and path prefix, in addition to `/<service>/<path>`. */
    routes?: Record<string, RouteAnswers>;
    limits?: LimitAnswers;
}

export interface RouteAnswers {
    /** Host name that callers use, without a port. */
    hostName: string;
    /** Path prefix that starts and ends with a slash. The route with the longest matching prefix applies. */
    prefix: string;
    /** Weight of each service that receives calls of the route. */
    destinations: Record<string, number>;
    /** Whether a call may run more than once, and whether its body is a large upload. */
    repetition: Repetition;
    /**
     * Backend servers to which one call may be sent.
     * @default 2
     */
    maxAttempts?: number;
    /**
     * Time in milliseconds after which a call is answered even if no backend server has responded.
     * @default 5000
     */
    timeoutMs?: number;
    /**
     * Target for the response time, in milliseconds.
     * @default timeoutMs
     */
    latencyObjectiveMs?: number;
    /**
     * Priority of the calls when a backend server is busy; 0 is the highest.
     * @default 0
     */
    priority?: number;
}

/** Limits for the connections of callers: sizes of requests and time-outs. */
export interface LimitAnswers {
    /** @default 16384 */
    maxHeaderBytes?: number;
    /** @default 1048576 */
    maxBodyBytes?: number;
    /** @default 10000 */
    headerTimeoutMs?: number;
    /** @default 5000 */
    idleTimeoutMs?: number;
}

export interface PartnerAnswers {
    /**
     * Weight of the partner when a backend server is busy.
     * @default 1
     */
    share?: number;
}

export interface ServiceAnswers {
    /** Calls that one backend server processes concurrently. */
    slots: number;
    /** Connections that one backend server accepts. */
    connections: number;
    /**
     * Time in seconds that calls in flight have to finish after a backend server starts draining.
     * @default 30
     */
    drainSeconds?: number;
    /**
     * Time in milliseconds over which the share of calls sent to a new backend server grows to its full size.
     * @default 0
     */
    coldStartMs?: number;
    /** Path of the backend server's health endpoint. */
    healthPath?: string;
    operations: OperationAnswers[];
}

export interface OperationAnswers {
    name: string;
    method: string;
    /** Path below the service. `*` matches one segment, a final `**` any number of segments. */
    path: string;
    /** Whether a call may be retried when its outcome is unknown. */
    repeatable: boolean;
    /**
     * Time in milliseconds after which the caller no longer needs the response.
     * @default 5000
     */
    deadlineMs?: number;
    /**
     * Largest request body in bytes.
     * @default 1048576
     */
    maxBodyBytes?: number;
}

export interface CallerAnswers {
    /** Partner to which the calls are attributed when capacity is shared. */
    partner?: string;
    /** Service whose backend servers make the calls. */
    service?: string;
    mayCall: string[];
}

export interface ResolvedAnswers {
    readonly deployment: string;
    readonly partners: Readonly<Record<string, Required<PartnerAnswers>>>;
    readonly services: Readonly<Record<string, ResolvedServiceAnswers>>;
    readonly callers: Readonly<Record<string, CallerAnswers>>;
    readonly routes: Readonly<Record<string, Required<RouteAnswers>>>;
    readonly limits: Required<LimitAnswers> | undefined;
}

export interface ResolvedServiceAnswers extends Required<Omit<ServiceAnswers, "operations" | "healthPath">> {
    readonly healthPath?: string;
    readonly operations: readonly Required<OperationAnswers>[];
}
