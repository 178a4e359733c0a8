/** How the stand-in responds to calls. All modes but `Complete` deviate from a normal response. */
export const AnswerMode = {
    Complete: "whole",
    /** 503 with the header `x-not-executed`: the call did not run. */
    Shed: "shed",
    /** 421, as if another backend server had taken over the address. */
    Replaced: "replaced",
    /** Fewer bytes than `content-length`, then the end of the connection. */
    Truncated: "truncated",
    /** No `content-length`, and a reset of the connection after the body. */
    UnframedReset: "unframedReset",
    /** No `content-length`; the end of the connection ends the body. */
    Unframed: "unframed",
    /** The attempt id of another call. */
    WrongId: "otherId",
    /** No signature header. */
    Unsigned: "unsigned",
    Encoded: "encoded",
    /** Two `content-encoding` headers: `identity`, then `gzip`. */
    EncodedInSecondHeader: "encodedLater",
    /** Two complete responses to the same call, in one write. */
    Duplicated: "twice",
    /** Half of the body, a pause of 6 s, and the rest. */
    Paused: "paused",
    /** Runs the call and resets the connection without a response. */
    LostAnswer: "lostAnswer",
    /** 503 that does not tell whether the call ran. */
    UnspecifiedOutcome: "barePromise",
    /** Responds before the request body was read. */
    Early: "early",
    /** Like `Shed`, without the attempt id. */
    ShedWithoutId: "bareShed",
    /** A second complete response to the same call, after a delay. */
    DuplicatedLate: "twiceLate",
    /** Refuses the first call of a connection; runs each later call but responds with the same refusal. */
    RepeatedRefusal: "refusedAgain",
    /** Like `RepeatedRefusal`, without the attempt ids. */
    RepeatedRefusalWithoutId: "bareRefusedAgain",
    /** Complete body with an unknown `transfer-encoding`, which ends with a reset of the connection. */
    UnknownCodingReset: "codedReset",
    /** Head that breaks off in a header, followed by a complete response. */
    RestartedHead: "headTwice",
    /** Refusal that breaks off in its status line, followed by a complete response. */
    TruncatedRefusalStatus: "refusalStops",
    /** Refusal that breaks off in a header, followed by a complete response. */
    TruncatedRefusalHeader: "refusalStopsLater",
    /** Successful response that breaks off in its status line, followed by a complete response with status 500. */
    TruncatedStatus: "statusStops",
    /** Half of the response head, then the end of the connection. */
    TruncatedHead: "headCut",
    /** Half of the response head, then a reset of the connection. */
    TruncatedHeadReset: "headReset",
    /** Endless status line. */
    EndlessStatus: "endlessStatus",
    /** Endless value of one header. */
    EndlessHeader: "endlessHeader",
    EndlessHeaders: "endlessHeaders",
    /** Endless sequence of interim (1xx) responses. */
    EndlessInterimResponses: "endlessInformation",
    /** Endless line breaks instead of a status line. */
    EndlessLineBreaks: "endlessBreaks",
    EndlessChunks: "endlessChunks",
    /** Endless extension of one chunk. */
    EndlessChunkExtension: "endlessExtension",
    EndlessTrailers: "endlessTrailers",
    /** Endless body without `content-length`. */
    EndlessBody: "endlessBody",
    /** Refusal with an endless body. */
    EndlessRefusal: "endlessRefusal",
    /** Complete response, followed by endless line breaks. */
    EndlessLineBreaksAfter: "endlessAfter",
} as const;
export type AnswerMode = (typeof AnswerMode)[keyof typeof AnswerMode];

export interface SiteRun {
    readonly id: string;
    /** Sequence number on this backend server, from 1; sent as `x-run` in the response. */
    readonly number: number;
    readonly method: string;
    readonly url: string;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly bodyBytes: number;
    /** SHA-256 of the request body, in hexadecimal; empty if it was not read. */
    readonly hash: string;
    readonly startedAt: number;
    /** Total time within the last 3 s during which the event loop of the process did not run, in milliseconds. */
    readonly stalledMs: number;
    readonly mode: AnswerMode;
    /** Whether the connection was closed before the response was sent. */
    cancelled: boolean;
}
