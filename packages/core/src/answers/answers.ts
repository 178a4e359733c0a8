/** The questionnaire as an operator fills it in, and the same with every default resolved. */

export interface Answers {
    deployment: string;
    partners?: Record<string, PartnerAnswers>;
    services: Record<string, ServiceAnswers>;
    callers: Record<string, CallerAnswers>;
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
}

export interface ResolvedServiceAnswers extends Required<Omit<ServiceAnswers, "operations" | "healthPath">> {
    readonly healthPath?: string;
    readonly operations: readonly Required<OperationAnswers>[];
}
