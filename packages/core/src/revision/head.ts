/** Rows in the platform's table: the head row with the accepted version, and one row for each revision. */

export const headKey = "head";

/** A revision that became a version of the configuration. */
export interface AcceptedChange {
    readonly version: number;
    readonly revision: number;
    readonly manifestHash: string;
    readonly operator: string;
    readonly writeId: string;
    /** Milliseconds since the epoch, by the clock of the daemon that wrote the row. */
    readonly acceptedAt: number;
}

/** The accepted version. Each conditional write raises it by exactly one. */
export interface Head extends AcceptedChange {
    /** Fencing token; increases with each write of the row. */
    readonly token: number;
    /** Latest accepted changes, newest first, including the current one. */
    readonly history: readonly AcceptedChange[];
}

/** A revision row stores only `Proposed` or `Rejected`. The other states are derived from the head row. */
export const RevisionState = {
    Proposed: "proposed",
    Rejected: "rejected",
    Accepted: "accepted",
    /** Another revision was accepted on the same base version, so this one can no longer be accepted. */
    Superseded: "superseded",
} as const;
export type RevisionState = (typeof RevisionState)[keyof typeof RevisionState];

/** A submitted set of answers with the configuration generated from it. */
export interface Revision {
    readonly number: number;
    /** Accepted version when the revision was generated; 0 if there was none. */
    readonly baseVersion: number;
    readonly answersHash: string;
    readonly manifestHash: string;
    readonly operator: string;
    readonly writeId: string;
    /** Milliseconds since the epoch. */
    readonly submittedAt: number;
    readonly state: RevisionState;
    readonly rejectedBy?: string;
    /** Milliseconds since the epoch. */
    readonly rejectedAt?: number;
    readonly rejectionWriteId?: string;
}

export function revisionKey(number: number): string {
    return `revision/${String(number).padStart(8, "0")}`;
}
