/** To which exchange of a kept connection a response belongs. */

/** What a response says of the exchange that it belongs to. */
export interface ResponseMark {
    /** Id that the request carried; `undefined` when it carried none. */
    readonly sent: string | undefined;
    /** Ids in the response, one for each header of that name. */
    readonly echoed: readonly string[];
    /** Exchanges that the connection carried before this one. */
    readonly exchangesBefore: number;
}

export const Attribution = {
    /** It repeats the id, which the connection carried only once. */
    Named: "named",
    /** It names no exchange, and there was no other on the connection. */
    Only: "only",
    /** It names another exchange, or more than one. */
    Other: "other",
    /** It names no exchange, and may belong to an earlier one. */
    Unnamed: "unnamed",
} as const;
export type Attribution = (typeof Attribution)[keyof typeof Attribution];

/**
 * Says whether a response certainly belongs to the exchange that waits for one. A server may write a response once
 * more, late, where the next one is expected; only the id tells the two apart.
 *
 * @example
 * ```ts
 * attribute({ sent: "a", echoed: ["b"], exchangesBefore: 3 }); // Attribution.Other
 * ```
 */
export function attribute({ sent, echoed, exchangesBefore }: ResponseMark): Attribution {
    if (echoed.some(id => id !== sent)) {
        return Attribution.Other;
    }
    if (echoed.length > 0) {
        return Attribution.Named;
    }
    return exchangesBefore === 0 ? Attribution.Only : Attribution.Unnamed;
}

/** A status line of HTTP/1.x: version, space, status (RFC 9112, section 4). */
const statusLinePattern = /HTTP\/\d\.\d \d{3}/;

/**
 * Whether the head of a response holds that of another one. A server that stops within a head and then writes another
 * response leaves the second status line in the text where it stopped. The status and the first headers are then those
 * of one response, and the id may be that of the other.
 *
 * @param texts - reason phrase and header values
 * @example
 * ```ts
 * holdsOtherHead(["Misdir" + "HTTP/1.1 200 OK"]); // true
 * ```
 */
export function holdsOtherHead(texts: readonly string[]): boolean {
    return texts.some(text => statusLinePattern.test(text));
}

/** Why a response was not passed on, or not to its end. */
export const RejectionCause = {
    /** It names another exchange. */
    OtherExchange: "otherExchange",
    /** It names no exchange, on a connection that carried others before. */
    Unnamed: "unnamed",
    /** Its head holds that of another response. */
    Merged: "merged",
    /** The dialect does not take its head for that of a whole response. */
    NotWhole: "notWhole",
    /** Its transfer coding is not one that is passed on. */
    Coding: "coding",
    /** More bytes without any of a body than a response has. */
    Endless: "endless",
    /** A larger body than is passed on. */
    TooLarge: "tooLarge",
    /** The connection ended before the response, or the bytes are no response. */
    Broken: "broken",
    /** No bytes came for longer than the limit. */
    Silent: "silent",
    /** The call ended before the response did. */
    CallOver: "callOver",
} as const;
export type RejectionCause = (typeof RejectionCause)[keyof typeof RejectionCause];
