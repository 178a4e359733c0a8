export const ReadinessState = {
    /** Not yet known to hold a version that is current enough. */
    Joining: "joining",
    Ready: "ready",
    /** Woke after a pause and has not confirmed its version yet. */
    Fenced: "fenced",
    /** Shutting down: calls in flight finish and no new ones are admitted. */
    Draining: "draining",
} as const;
export type ReadinessState = (typeof ReadinessState)[keyof typeof ReadinessState];

export interface Readiness {
    readonly state: ReadinessState;
    readonly reason: string;
    /** Lowest version that this host may serve. */
    readonly floor: number;
    /** Milliseconds since the epoch. */
    readonly since: number;
}
