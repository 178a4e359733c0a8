import type { MatchedCall, Refusal } from "@tanagertray/core";
import type { Either } from "purify-ts/Either";
import type { Board } from "../../board.js";
import type { RequestHead } from "./headers.js";

/** The parts of a caller's request that a dialect needs to find the route. */
export interface DialectRequest {
    readonly method: string;
    /** Request target as received. */
    readonly url: string;
    readonly head: RequestHead;
    /** Random number, uniform in [0, 1). */
    readonly random: number;
}

export interface DialectMatch {
    readonly matched: MatchedCall;
    /** Request target for the backend server. */
    readonly backendPath: string;
    /** Whether the hop carries the route, because the other daemon cannot derive it from the request target. */
    readonly sendsRoute: boolean;
}

/** Values for the headers that the daemon adds to a call to a backend server. */
export interface BackendCall {
    readonly caller: string;
    readonly callId: string;
    /** Time left, in whole milliseconds. */
    readonly deadlineMs: number;
    readonly traceparent: string;
    /** Id of the backend server that the call is sent to. */
    readonly server: string;
}

/** Classification of a backend server's response by its head. */
export const ResponseClass = {
    /** The response to the call. */
    Answer: "answer",
    /** The backend server reports that it did not run the call. */
    NotRun: "notRun",
    /** Cannot be recognized as a complete response to the call. */
    Foreign: "foreign",
} as const;
export type ResponseClass = (typeof ResponseClass)[keyof typeof ResponseClass];

export interface ResponseHead {
    readonly status: number;
    /** Names and values, alternating. */
    readonly raw: readonly string[];
    /** Id of the call, if the request carries one. */
    readonly callId: string | undefined;
}

/** A response that the daemon itself generates. */
export interface DaemonResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | number>>;
    readonly body: string;
}

/** Why the outcome of a call is unknown. */
export const UnknownCause = {
    /** The call was sent, but its response was lost. */
    Lost: "lost",
    /** The call was sent, but its deadline passed before a response was received. */
    DeadlinePassed: "deadlinePassed",
} as const;
export type UnknownCause = (typeof UnknownCause)[keyof typeof UnknownCause];

/**
 * The HTTP conventions between the daemon and its callers and backend servers: header names, routes and statuses.
 * Daemons use the native protocol among each other, whatever the dialect.
 */
export interface CallDialect {
    /** Header with the id of a call, in lower case. Backend servers echo it in their responses. */
    readonly callIdHeader: string;
    /** Header with the deadline of a call, in lower case. */
    readonly deadlineHeader: string;
    /** Parses the deadline header to milliseconds; `undefined` if the value is invalid. */
    readDeadlineMs(text: string): number | undefined;
    /** Whether only daemons may set the header, so that a caller's value is not forwarded. */
    isReserved(name: string): boolean;
    /** Whether the caller's `host` header is forwarded to the backend server unchanged. */
    readonly forwardsHost: boolean;
    match(board: Board, request: DialectRequest): Either<Refusal, DialectMatch>;
    backendHeaders(call: BackendCall): readonly string[];
    /** Classifies a response that is known to belong to the call. */
    classifyResponse(head: ResponseHead): ResponseClass;
    /** Response to a call that did not run and will not run. */
    notRun(refused: Refusal): DaemonResponse;
    /** Response to a call that may or may not have run. */
    unknown(cause: UnknownCause): DaemonResponse;
}
