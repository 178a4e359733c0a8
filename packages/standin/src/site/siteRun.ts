/** How the stand-in answers calls. */
export const AnswerMode = {
    Whole: "whole",
    /** 503 that says that the call did not run. */
    Shed: "shed",
    /** Another server has the address: 421. */
    Replaced: "replaced",
    /** Fewer bytes than the length says, then a reset. */
    Truncated: "truncated",
    /** No length, and a reset in the middle of the body. */
    UnframedReset: "unframedReset",
    /** No length, and the whole body before the end of the connection. */
    Unframed: "unframed",
    /** The id of another call. */
    OtherId: "otherId",
    /** No signature. */
    Unsigned: "unsigned",
    Encoded: "encoded",
    /** Two codings in two headers, the first of which is none. */
    EncodedLater: "encodedLater",
    /** A second whole answer, with the id of the call before, behind the first. */
    Twice: "twice",
    /** Runs the call and closes the connection without an answer. */
    LostAnswer: "lostAnswer",
    /** 503 without a word on whether the call ran. */
    BarePromise: "barePromise",
    /** Answers before the body was read. */
    Early: "early",
    /** 503 that says that the call did not run, without the id of the call. */
    BareShed: "bareShed",
    /** A second whole answer, some time after the first. */
    TwiceLate: "twiceLate",
    /** Refuses the first call of a connection, and writes that refusal once more while it runs the next one. */
    RefusedAgain: "refusedAgain",
    /** The same without the ids of the calls. */
    BareRefusedAgain: "bareRefusedAgain",
    /** Whole, with the reset of the connection instead of the end of a body in an unknown transfer coding. */
    CodedReset: "codedReset",
    /** Whole, behind a head that stops and starts again. */
    HeadTwice: "headTwice",
    /** Whole, behind a refusal that stops in its status line. */
    RefusalStops: "refusalStops",
    /** Whole, behind a refusal that stops in a header. */
    RefusalStopsLater: "refusalStopsLater",
    /** A failure, behind an answer that stops in its status line. */
    StatusStops: "statusStops",
    /** Half of the head, then the end of the connection. */
    HeadCut: "headCut",
    /** Half of the head, then a reset. */
    HeadReset: "headReset",
    /** Status line without end. */
    EndlessStatus: "endlessStatus",
    /** One header without end. */
    EndlessHeader: "endlessHeader",
    EndlessHeaders: "endlessHeaders",
    /** Heads that only inform, without end. */
    EndlessInformation: "endlessInformation",
    /** Line breaks instead of a head. */
    EndlessBreaks: "endlessBreaks",
    EndlessChunks: "endlessChunks",
    /** Extension of a chunk without end. */
    EndlessExtension: "endlessExtension",
    EndlessTrailers: "endlessTrailers",
    /** Body without a length and without end. */
    EndlessBody: "endlessBody",
    /** Refusal with a body without end. */
    EndlessRefusal: "endlessRefusal",
    /** Whole, and line breaks without end behind it. */
    EndlessAfter: "endlessAfter",
} as const;
export type AnswerMode = (typeof AnswerMode)[keyof typeof AnswerMode];

export interface SiteRun {
    readonly id: string;
    /** Counted from 1. The answer carries it in `x-run`. */
    readonly number: number;
    readonly method: string;
    readonly url: string;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly bodyBytes: number;
    /** SHA-256 of the body of the call, in hexadecimal; empty when it was not read. */
    readonly hash: string;
    readonly startedAt: number;
    /** Time of the last seconds in which the backend server's process did not run, in milliseconds. */
    readonly stalledMs: number;
    /** How it is answered. */
    readonly mode: AnswerMode;
    /** The connection closed before the answer was sent. */
    cancelled: boolean;
}
