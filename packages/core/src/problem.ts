/** Errors as values. An operation that can fail returns an `Either<Problem, …>`. */

export const ProblemCode = {
    InvalidSetting: "invalidSetting",
    InvalidAnswer: "invalidAnswer",
    Unreadable: "unreadable",
    PlatformUnreachable: "platformUnreachable",
    DaemonUnreachable: "daemonUnreachable",
    OutcomeUnknown: "outcomeUnknown",
    Conflict: "conflict",
    NotFound: "notFound",
    AlreadyDecided: "alreadyDecided",
    HashMismatch: "hashMismatch",
    DanglingReference: "danglingReference",
    WrongBase: "wrongBase",
    OlderVersion: "olderVersion",
    MalformedMessage: "malformedMessage",
    MalformedResource: "malformedResource",
    Unauthorized: "unauthorized",
    Overloaded: "overloaded",
    TooLarge: "tooLarge",
} as const;
export type ProblemCode = (typeof ProblemCode)[keyof typeof ProblemCode];

export interface Problem {
    /** Stable across releases. */
    readonly code: ProblemCode;
    /** Names the offending value. */
    readonly message: string;
    /** File, path, key or row that has the problem. */
    readonly where?: string;
    /** Suggested action for the operator. */
    readonly nextStep?: string;
}

/**
 * Creates an error value.
 *
 * @example
 * ```ts
 * problem(ProblemCode.NotFound, "revision 12 does not exist", { nextStep: "run `tanagertray revisions`" });
 * ```
 */
export function problem(
    code: ProblemCode,
    message: string,
    details: { where?: string; nextStep?: string } = {},
): Problem {
    return { code, message, ...details };
}
