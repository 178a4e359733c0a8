import type { Repetition } from "../configuration/resource.js";

/** The questionnaire as an operator fills it in, and the same with every default resolved. */

export interface Answers {
    deployment: string;
    partners?: Record<string, PartnerAnswers>;
    services: Record<string, ServiceAnswers>;
    callers: Record<string, CallerAnswers>;
    /** Routes by host name and path prefix, beside `/<service>/<path>`. */
    routes?: Record<string, RouteAnswers>;
    limits?: LimitAnswers;
}

export interface RouteAnswers {
    /** Host name that callers use, without a port. */
    hostName: string;
    /** Beginning of the paths; begins and ends with a slash. The longest prefix counts. */
    prefix: string;
    /** Weight of each service that gets calls of the route. */
    destinations: Record<string, number>;
    /** How often a call may run. */
    repetition: Repetition;
    /**
     * Backend servers to which one call may be sent.
     * @default 2
     */
    maxAttempts?: number;
    /**
     * Time in milliseconds after which a call is answered in any case.
     * @default 5000
     */
    timeoutMs?: number;
    /**
     * Time in milliseconds within which an answer has its full worth.
     * @default timeoutMs
     */
    latencyObjectiveMs?: number;
    /**
     * Rank of the calls when a backend server is busy; 0 is the most urgent.
     * @default 0
     */
    priority?: number;
}

/** What callers' connections may send, and how long they may stay idle. */
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
    /** Calls that one backend server works on at a time. */
    slots: number;
    /** Connections that one backend server accepts. */
    connections: number;
    /**
     * Longest time in seconds that calls in flight may take after a backend server starts to leave.
     * @default 30
     */
    drainSeconds?: number;
    /**
     * Time in milliseconds over which a new backend server is given a growing share of the calls.
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
    /** Path below the service, in which `*` stands for one segment and a final `**` for any rest. */
    path: string;
    /** Whether a call may be sent again when its outcome is unknown. */
    repeatable: boolean;
    /**
     * Time in milliseconds after which the caller no longer needs the answer.
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
    /** Partner whose share the calls use. */
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
