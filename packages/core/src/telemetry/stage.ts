/** Stages of a call at one daemon, in chronological order. */
export const CallStage = {
    /** From the earliest possible arrival of the request until the daemon reads it. */
    Read: "read",
    /** Wait for a free slot of a local backend server. */
    Queue: "queue",
    /** From the read, or the end of the previous attempt, to the first byte written, without the wait for a slot. */
    Send: "send",
    /**
     * From the first byte written to another daemon to its response head, without that daemon's wait for a slot and the
     * time of its backend server.
     */
    Hop: "hop",
    /** From the first byte written to the backend server to its response head. */
    Backend: "backend",
} as const;
export type CallStage = (typeof CallStage)[keyof typeof CallStage];

/** Durations of the stages of a call, in milliseconds. Stages that the call skipped are absent. */
export type StageDurations = Readonly<Partial<Record<CallStage, number>>>;
