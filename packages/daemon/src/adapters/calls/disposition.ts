import type { RejectionCause } from "@tanagertray/core";

/** Receives a response. If `write` returns false, the sender pauses until `onceWritable` calls `resume`. */
export interface ResponseSink {
    write(chunk: Buffer): boolean;
    onceWritable(resume: () => void): void;
    end(): void;
}

/** What to do with a response whose head was received. */
export const DispositionKind = {
    Pass: "pass",
    /** Only the head matters. The body is read within limits and discarded, so that the connection can be reused. */
    Drop: "drop",
    /** The response is not accepted, and its connection is closed. */
    Reject: "reject",
} as const;
export type DispositionKind = (typeof DispositionKind)[keyof typeof DispositionKind];

export type Disposition =
    | { readonly kind: typeof DispositionKind.Pass; readonly sink: ResponseSink }
    | { readonly kind: typeof DispositionKind.Drop }
    | { readonly kind: typeof DispositionKind.Reject };

/** A response that was not forwarded, or not completely. */
export interface Rejection {
    readonly cause: RejectionCause;
    /** `undefined` if no complete head was received. */
    readonly head: { readonly status: number; readonly raw: readonly string[] } | undefined;
    /** Bytes of the response that were received. */
    readonly bytes: number;
    /** Earlier exchanges on the connection. */
    readonly exchangesBefore: number;
}
