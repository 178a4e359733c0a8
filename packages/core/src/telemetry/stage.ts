/** Stages of a call at one daemon, in the order in which they follow each other. */
export const CallStage = {
    /** From the earliest instant at which the request can have arrived to its read. */
    Read: "read",
    /** Wait for a slot of a backend server of this host. */
    Queue: "queue",
    /** From the read, or the end of the attempt before, to the first byte written, less the wait for a slot. */
    Send: "send",
    /** From the first byte written to another daemon to its response head, less its wait and its backend server's time. */
    Hop: "hop",
    /** From the first byte written to the backend server to its response head. */
    Backend: "backend",
} as const;
export type CallStage = (typeof CallStage)[keyof typeof CallStage];

/** Durations of the stages that a call went through, in milliseconds. */
export type StageDurations = Readonly<Partial<Record<CallStage, number>>>;
