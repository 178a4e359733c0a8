/** Matches responses on a reused connection to the exchanges that they belong to. */

/** Information that identifies the exchange of a response. */
export interface ResponseIds {
    /** Id that was sent with the request; `undefined` if there was none. */
    readonly sentId: string | undefined;
    /** Ids in the response, one for each id header. */
    readonly echoedIds: readonly string[];
    /** Number of earlier exchanges on the connection. */
    readonly exchangesBefore: number;
}

export const Attribution = {
    /** The response repeats the id of the request, which is unique on the connection. */
    Matched: "named",
    /** The response has no id, and this is the first exchange on the connection. */
    First: "only",
    /** The response has the id of another exchange, or several different ids. */
    Mismatched: "other",
    /** The response has no id and may belong to an earlier exchange. */
    Ambiguous: "unnamed",
} as const;
export type Attribution = (typeof Attribution)[keyof typeof Attribution];

/**
 * Determines whether a response belongs to the pending exchange. A server may send a response a second time, in place of
 * the next one. Only the id distinguishes the two.
 *
 * @example
 * ```ts
 * attribute({ sentId: "a", echoedIds: ["b"], exchangesBefore: 3 }); // Attribution.Mismatched
 * ```
 */
export function attribute({ sentId, echoedIds, exchangesBefore }: ResponseIds): Attribution {
    if (echoedIds.some(id => id !== sentId)) {
        return Attribution.Mismatched;
    }
    if (echoedIds.length > 0) {
        return Attribution.Matched;
    }
    return exchangesBefore === 0 ? Attribution.First : Attribution.Ambiguous;
}

/** A status line of HTTP/1.x: version, space, status (RFC 9112, section 4). */
const statusLinePattern = /HTTP\/\d\.\d \d{3}/;

/**
 * Whether the head of a response contains the head of another one. If a server stops in the middle of a head and then
 * sends another response, the second status line becomes part of a header value or the reason phrase. The status and
 * the first headers then belong to one response, and the id may belong to the other.
 *
 * @param texts - reason phrase and header values
 * @example
 * ```ts
 * containsStatusLine(["Misdir" + "HTTP/1.1 200 OK"]); // true
 * ```
 */
export function containsStatusLine(texts: readonly string[]): boolean {
    return texts.some(text => statusLinePattern.test(text));
}

/** Why a response was not forwarded, or not completely. */
export const RejectionCause = {
    /** The response has the id of another exchange. */
    OtherExchange: "otherExchange",
    /** The response has no id and may belong to another exchange. */
    MissingId: "unnamed",
    /** The head contains the head of another response. */
    MergedHeads: "merged",
    /** The dialect does not accept the head as that of a complete response. */
    IncompleteHead: "notWhole",
    /** The transfer coding is not supported. */
    UnsupportedCoding: "coding",
    /** The response did not end within the limit of bytes without a body part, or of time after a refusal. */
    Unterminated: "endless",
    /** The body exceeds the size limit. */
    TooLarge: "tooLarge",
    /** The connection was closed before the end of the response, or the bytes are not a valid response. */
    Broken: "broken",
    /** No bytes were received within the time limit. */
    Stalled: "silent",
    /** The call ended before the response was complete. */
    CallEnded: "callOver",
} as const;
export type RejectionCause = (typeof RejectionCause)[keyof typeof RejectionCause];
