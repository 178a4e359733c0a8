import type { Either } from "purify-ts/Either";
import type { PlatformRequest } from "../platform/operation.js";
import type { Problem } from "../problem.js";

/**
 * Progress of an operation that sends several requests to the platform, one at a time: either the next request,
 * with the state to continue from, or the outcome.
 */
export type Progress<S, R> =
    | { readonly done: false; readonly state: S; readonly next: PlatformRequest }
    | { readonly done: true; readonly outcome: Either<Problem, R> };

export function pending<S, R>(state: S, next: PlatformRequest): Progress<S, R> {
    return { done: false, state, next };
}

export function finished<S, R>(outcome: Either<Problem, R>): Progress<S, R> {
    return { done: true, outcome };
}
