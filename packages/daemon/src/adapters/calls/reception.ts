import type { RejectionCause } from "@tanagertray/core";

/** Receives a response. `write` returns false to pause; `resume` is called when it may go on. */
export interface ResponseSink {
    write(chunk: Buffer): boolean;
    onceWritable(resume: () => void): void;
    end(): void;
}

/** What is done with a response whose head has come. */
export const ReceptionKind = {
    Pass: "pass",
    /** Its head says all; its body is read within bounds, so that the connection can be kept. */
    Drop: "drop",
    /** It is not taken, and its connection is discarded. */
    Reject: "reject",
} as const;
export type ReceptionKind = (typeof ReceptionKind)[keyof typeof ReceptionKind];

export type Reception =
    | { readonly kind: typeof ReceptionKind.Pass; readonly sink: ResponseSink }
    | { readonly kind: typeof ReceptionKind.Drop }
    | { readonly kind: typeof ReceptionKind.Reject };

/** A response that was not passed on, or not to its end. */
export interface Rejection {
    readonly cause: RejectionCause;
    /** `undefined` when no head came. */
    readonly head: { readonly status: number; readonly raw: readonly string[] } | undefined;
    /** Bytes of it that came. */
    readonly bytes: number;
    /** Exchanges that the connection carried before. */
    readonly exchangesBefore: number;
}
