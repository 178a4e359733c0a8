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
    ResponseClass,
    type BackendCall,
    type CallDialect,
    type DaemonResponse,
    type DialectMatch,
    type DialectRequest,
} from "./dialect.js";
import { isUnambiguousPath, pathOf } from "./paths.js";

const serviceTargetPattern = /^\/([A-Za-z0-9][A-Za-z0-9._-]*)(\/[!-~]*)?$/;
const callerHeader = "tanagertray-caller";

/** The default dialect: headers `tanagertray-*`, targets `/<service>/<path>`, and routes by host and path prefix. */
export const nativeDialect: CallDialect = {
    callIdHeader: "tanagertray-call-id",
    deadlineHeader: "tanagertray-deadline-ms",
    readDeadlineMs: parseDeadlineMs,
    isReserved: () => false,
    forwardsHost: false,
    match: matchNative,
    backendHeaders: ({ caller, callId, deadlineMs, traceparent }: BackendCall) => [
        ...[callerHeader, caller, "tanagertray-call-id", callId],
        ...["tanagertray-deadline-ms", String(deadlineMs), "traceparent", traceparent],
    ],
    classifyResponse: () => ResponseClass.Answer,
    notRun: notRunResponse,
    unknown: cause => problemResponse(unknownOutcomeStatus, CallOutcome.Unknown, cause, {}),
};

/** Finds the route of a request by host and path prefix, or by the service name that its target starts with. */
export function matchNative(board: Board, request: DialectRequest): Either<Refusal, DialectMatch> {
    const { head, method, url } = request;
    const resources = board.read("configuration").held?.resources ?? new Map();
    const caller = head.daemonHeaders.get(callerHeader) ?? "";
    const path = pathOf(url);
    if (
        findPathRoute(resources, { hostName: head.hostName, path }) !== undefined &&
        isUnambiguousPath(path)
    ) {
        const call = { hostName: head.hostName, path, caller, random: request.random };
        return matchPathRoute(resources, call).map(matched => ({
            matched,
            backendPath: url,
            sendsRoute: true,
        }));
    }
    const [, service = "", backendPath = "/"] = serviceTargetPattern.exec(url) ?? [];
    const operationPath = pathOf(backendPath);
    if (service === "" || !isUnambiguousPath(operationPath)) {
        return Left(refusal(RefusalReason.Malformed));
    }
    return matchCall(resources, { service, method, path: operationPath, caller }).map(matched => ({
        matched,
        backendPath,
        sendsRoute: false,
    }));
}

/** Response to a call that did not run, to a caller or to another daemon. */
export function notRunResponse(refused: Refusal): DaemonResponse {
    const waitMs = Math.max(1, Math.ceil(refused.retryAfterMs));
    return problemResponse(refusalStatus(refused.reason), CallOutcome.NotRun, refused.reason, {
        "retry-after": String(Math.ceil(waitMs / 1_000)),
        "tanagertray-retry-after-ms": String(waitMs),
    });
}

function problemResponse(
    status: number,
    outcome: CallOutcome,
    reason: string,
    headers: Record<string, string>,
): DaemonResponse {
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
