import { containsStatusLine, RejectionCause } from "@tanagertray/core";
import { headerValues } from "./headers.js";

export interface ReceivedHead {
    readonly status: number;
    readonly reasonPhrase: string;
    /** Names and values, alternating. */
    readonly raw: readonly (Buffer | string)[];
}

/** Statuses of responses that end with their head, whatever its `content-length` says (RFC 9112, section 6.3). */
export const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Why a head that belongs to its exchange is not forwarded; `undefined` if it is. */
export function rejectionCauseOf(reasonPhrase: string, raw: readonly string[]): RejectionCause | undefined {
    if (containsStatusLine([reasonPhrase, ...raw])) {
        return RejectionCause.MergedHeads;
    }
    return hasSupportedCoding(raw) ? undefined : RejectionCause.UnsupportedCoding;
}

/**
 * `chunked`, or no transfer coding: then the body ends at its length or at the end of the connection. A reset is not
 * an end.
 */
function hasSupportedCoding(raw: readonly string[]): boolean {
    return headerValues(raw, "transfer-encoding").every(coding => coding.toLowerCase() === "chunked");
}
