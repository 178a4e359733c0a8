/** Requests to the platform's table service and object store, and their results. */

export const PlatformOperation = {
    ReadRow: "readRow",
    WriteRow: "writeRow",
    ListRows: "listRows",
    ReadObject: "readObject",
    WriteObject: "writeObject",
} as const;
export type PlatformOperation = (typeof PlatformOperation)[keyof typeof PlatformOperation];

export interface RowTag {
    readonly key: string;
    /** When absent, the row must not exist. */
    readonly tag?: string;
}

export type PlatformRequest =
    | {
          readonly operation: typeof PlatformOperation.ReadRow;
          readonly key: string;
          readonly knownTag?: string;
          /** Longest time for which the platform delays its answer while the row still has the known tag, in milliseconds. */
          readonly waitMs?: number;
      }
    | {
          readonly operation: typeof PlatformOperation.WriteRow;
          readonly key: string;
          readonly row: unknown;
          /** Tag of the row that the write replaces; when absent, the row must not exist. */
          readonly expectedTag?: string;
          /** Other rows whose tags must still match when the write commits. */
          readonly unchanged?: readonly RowTag[];
      }
    | {
          readonly operation: typeof PlatformOperation.ListRows;
          readonly prefix: string;
          /** Lists only rows whose key sorts after this one. */
          readonly after?: string;
      }
    | { readonly operation: typeof PlatformOperation.ReadObject; readonly hash: string }
    | {
          readonly operation: typeof PlatformOperation.WriteObject;
          readonly hash: string;
          readonly bytes: Uint8Array;
      };

export const PlatformAnswer = {
    Row: "row",
    Rows: "rows",
    Object: "object",
    Unchanged: "unchanged",
    Missing: "missing",
    Written: "written",
    /** A condition of the write did not hold, so it had no effect. */
    Conflict: "conflict",
    /** Rejected by rate limiting before it had any effect. */
    Refused: "refused",
    /** No answer arrived; a write may or may not have taken effect. */
    Lost: "lost",
} as const;
export type PlatformAnswer = (typeof PlatformAnswer)[keyof typeof PlatformAnswer];

export interface TaggedRow {
    readonly key: string;
    readonly tag: string;
    readonly row: unknown;
}

export type PlatformResult =
    | { readonly answer: typeof PlatformAnswer.Row; readonly row: unknown; readonly tag: string }
    | { readonly answer: typeof PlatformAnswer.Rows; readonly rows: readonly TaggedRow[] }
    | {
          readonly answer: typeof PlatformAnswer.Object;
          readonly bytes: Uint8Array;
          /** Objects returned together with this one, by hash, such as all parts of a manifest. */
          readonly related?: ReadonlyMap<string, Uint8Array>;
      }
    | { readonly answer: typeof PlatformAnswer.Unchanged }
    | { readonly answer: typeof PlatformAnswer.Missing }
    | { readonly answer: typeof PlatformAnswer.Written; readonly tag: string }
    | { readonly answer: typeof PlatformAnswer.Conflict }
    | { readonly answer: typeof PlatformAnswer.Refused; readonly message: string }
    | { readonly answer: typeof PlatformAnswer.Lost; readonly message: string };

/** A request on the blackboard. The reply has the same id. */
export interface PlatformCommand {
    readonly id: string;
    readonly request: PlatformRequest;
}

export interface PlatformReply {
    readonly id: string;
    readonly result: PlatformResult;
}
