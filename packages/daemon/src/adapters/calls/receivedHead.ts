import { containsStatusLine, RejectionCause } from "@tanagertray/core";
import { headerValues } from "./headers.js";

/** A response head as it was received. */
export interface ReceivedHead {
    readonly status: number;
    readonly reasonPhrase: string;
    /** Names and values, alternating. */
    readonly raw: readonly (Buffer | string)[];
}

/** Statuses of responses that end with their head, whatever length it names (RFC 9112, section 6.3). */
export const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Why a head that names its exchange is not passed on; `undefined` when it is. */
export function causeInHead(reasonPhrase: string, raw: readonly string[]): RejectionCause | undefined {
    if (containsStatusLine([reasonPhrase, ...raw])) {
        return RejectionCause.MergedHeads;
    }
    return isPassableCoding(raw) ? undefined : RejectionCause.UnsupportedCoding;
}

/** Without a coding, the length or the end of the connection ends the body; the reset of a connection does not. */
function isPassableCoding(raw: readonly string[]): boolean {
    return headerValues(raw, "transfer-encoding").every(coding => coding.toLowerCase() === "chunked");
}
