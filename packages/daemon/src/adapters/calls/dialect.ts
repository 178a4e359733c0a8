import type { MatchedCall, Refusal } from "@tanagertray/core";
import type { Either } from "purify-ts/Either";
import type { Board } from "../../board.js";
import type { RequestHead } from "./headers.js";

/** A caller's request, as a dialect needs it to find the route. */
export interface DialectRequest {
    readonly method: string;
    /** Request target as received. */
    readonly url: string;
    readonly head: RequestHead;
    /** Uniform in [0, 1). */
    readonly random: number;
}

export interface DialectMatch {
    readonly matched: MatchedCall;
    /** Request target for the backend server. */
    readonly backendPath: string;
    /** Whether the route has to be told to the host of the backend server, which cannot derive it from the target. */
    readonly tellsRoute: boolean;
}

/** What a call to a backend server says besides the caller's own headers. */
export interface BackendCall {
    readonly caller: string;
    readonly callId: string;
    /** Whole milliseconds that are left. */
    readonly deadlineMs: number;
    readonly traceparent: string;
    /** Id of the backend server that the call is meant for. */
    readonly server: string;
}

/** What the head of a backend server's response says of the call. */
export const Verdict = {
    /** It answers the call. */
    Answer: "answer",
    /** The backend server says that it did not run the call. */
    NotRun: "notRun",
    /** It is no whole answer to a call. */
    Foreign: "foreign",
} as const;
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

export interface ResponseHead {
    readonly status: number;
    /** Names and values, alternating. */
    readonly raw: readonly string[];
    /** Id of the call, when its request carries one. */
    readonly callId: string | undefined;
}

/** An answer of the daemon itself. */
export interface OwnAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | number>>;
    readonly body: string;
}

/** Why the outcome of a call is not known. */
export const UnknownCause = {
    /** The call was sent, and its answer was lost. */
    Lost: "lost",
    /** The call was sent, and its deadline passed before an answer came. */
    DeadlinePassed: "deadlinePassed",
} as const;
export type UnknownCause = (typeof UnknownCause)[keyof typeof UnknownCause];

/**
 * How callers and backend servers speak with the daemon: header names, routes and statuses. Daemons speak the
 * project's own protocol with each other, whatever the dialect.
 */
export interface CallDialect {
    /** Names of the caller's headers, in lower case. Backend servers repeat the first one in their responses. */
    readonly callIdHeader: string;
    readonly deadlineHeader: string;
    /** Reads the caller's deadline in milliseconds; `undefined` for a value that is not valid. */
    readDeadlineMs(text: string): number | undefined;
    /** Whether a header is set by the daemons and therefore not taken over from a caller. */
    isReserved(name: string): boolean;
    /** Whether the `host` header reaches the backend server as the caller sent it. */
    readonly passesHost: boolean;
    match(board: Board, request: DialectRequest): Either<Refusal, DialectMatch>;
    backendHeaders(call: BackendCall): readonly string[];
    /** Judges a head that certainly belongs to the call. */
    judge(head: ResponseHead): Verdict;
    /** Answer to a call that did not run and never will. */
    notRun(refused: Refusal): OwnAnswer;
    /** Answer to a call of which nothing can be promised. */
    unknown(cause: UnknownCause): OwnAnswer;
}
