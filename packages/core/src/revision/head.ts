/** The rows in the platform's table that say which version is accepted. */

export const headKey = "head";

/** One accepted change. */
export interface Change {
    readonly version: number;
    readonly revision: number;
    readonly manifestHash: string;
    readonly operator: string;
    readonly writeId: string;
    /** Milliseconds since the epoch, by the clock of the daemon that wrote it. */
    readonly acceptedAt: number;
}

/** The accepted version. Only a conditional write moves it, by exactly one version. */
export interface Head extends Change {
    /** Fencing token; rises with each write of the row. */
    readonly token: number;
    /** Latest changes, newest first, the current one included. */
    readonly history: readonly Change[];
}

/** The row of a revision holds one of the first two; the others follow from the head row. */
export const RevisionState = {
    Proposed: "proposed",
    Rejected: "rejected",
    Accepted: "accepted",
    /** Another change was accepted on its base version, so it can no longer be accepted. */
    Superseded: "superseded",
} as const;
export type RevisionState = (typeof RevisionState)[keyof typeof RevisionState];

/** A submitted set of answers with the configuration generated from it. */
export interface Revision {
    readonly number: number;
    /** Version that was accepted when the revision was generated; 0 before the first. */
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
