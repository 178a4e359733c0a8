import {
    CallOutcome,
    findPathRoute,
    matchCall,
    matchPathRoute,
    parseDeadlineMs,
    refusal,
    RefusalReason,
    refusalStatus,
    unknownOutcomeStatus,
    type Refusal,
} from "@tanagertray/core";
import { Left, type Either } from "purify-ts/Either";
import type { Board } from "../../board.js";
import {
    Verdict,
    type BackendCall,
    type CallDialect,
    type DialectMatch,
    type DialectRequest,
    type OwnAnswer,
} from "./dialect.js";
import { isPlainPath, pathOf } from "./paths.js";

const urlPattern = /^\/([A-Za-z0-9][A-Za-z0-9._-]*)(\/[!-~]*)?$/;
const callerHeader = "tanagertray-caller";

/** The project's own interface: headers `tanagertray-*`, targets `/<service>/<path>` and routes by host and prefix. */
export const ownDialect: CallDialect = {
    callIdHeader: "tanagertray-call-id",
    deadlineHeader: "tanagertray-deadline-ms",
    readDeadlineMs: parseDeadlineMs,
    isReserved: () => false,
    passesHost: false,
    match: matchOwn,
    backendHeaders: ({ caller, callId, deadlineMs, traceparent }: BackendCall) => [
        ...[callerHeader, caller, "tanagertray-call-id", callId],
        ...["tanagertray-deadline-ms", String(deadlineMs), "traceparent", traceparent],
    ],
    judge: () => Verdict.Answer,
    notRun: answerNotRun,
    unknown: cause => document(unknownOutcomeStatus, CallOutcome.Unknown, cause, {}),
};

/** Finds the route of a request in the project's own interface. */
export function matchOwn(board: Board, request: DialectRequest): Either<Refusal, DialectMatch> {
    const { head, method, url } = request;
    const resources = board.read("configuration").held?.resources ?? new Map();
    const caller = head.own.get(callerHeader) ?? "";
    const path = pathOf(url);
    if (findPathRoute(resources, { hostName: head.hostName, path }) !== undefined && isPlainPath(path)) {
        const call = { hostName: head.hostName, path, caller, random: request.random };
        return matchPathRoute(resources, call).map(matched => ({
            matched,
            backendPath: url,
            tellsRoute: true,
        }));
    }
    const [, service = "", backendPath = "/"] = urlPattern.exec(url) ?? [];
    const operationPath = pathOf(backendPath);
    if (service === "" || !isPlainPath(operationPath)) {
        return Left(refusal(RefusalReason.Malformed));
    }
    return matchCall(resources, { service, method, path: operationPath, caller }).map(matched => ({
        matched,
        backendPath,
        tellsRoute: false,
    }));
}

/**
 * Answer of a daemon to a call that did not run; also what daemons answer each other.
 */
export function answerNotRun(refused: Refusal): OwnAnswer {
    const waitMs = Math.max(1, Math.ceil(refused.retryAfterMs));
    return document(refusalStatus(refused.reason), CallOutcome.NotRun, refused.reason, {
        "retry-after": String(Math.ceil(waitMs / 1_000)),
        "tanagertray-retry-after-ms": String(waitMs),
    });
}

function document(
    status: number,
    outcome: CallOutcome,
    reason: string,
    headers: Record<string, string>,
): OwnAnswer {
    const title = outcome === CallOutcome.NotRun ? "the call did not run" : "the outcome is unknown";
    const body = JSON.stringify({ type: `urn:tanagertray:${outcome}`, title, status, detail: reason });
    return {
        status,
        headers: {
            "content-type": "application/problem+json",
            "content-length": Buffer.byteLength(body),
            "tanagertray-outcome": outcome,
            "tanagertray-reason": reason,
            ...headers,
        },
        body,
    };
}
