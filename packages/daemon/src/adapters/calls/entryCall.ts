import { remainingMs, type Refusal, type Selection } from "@tanagertray/core";
import { randomUUID } from "node:crypto";
import type { ServerResponse } from "node:http";
import { currentVersion } from "../../controllers/advertisement.js";
import type { Cancellation } from "./cancellation.js";
import type { CallContext } from "./context.js";
import type { IncomingCall } from "./incoming.js";
import type { RequestBody } from "./requestBody.js";
import { stageLogFields, type StageTimes } from "./stageTimes.js";

/** State of one call at its entry daemon. */
export interface EntryCall {
    readonly call: IncomingCall;
    readonly callId: string;
    readonly deadline: number;
    /** Time after which no attempt may start. */
    readonly startBy: number;
    readonly body: RequestBody;
    readonly cancellation: Cancellation;
    readonly response: ServerResponse;
    readonly traceparent: string;
    /** Hosts that an attempt was made on. */
    readonly triedHosts: Set<string>;
    /** Attempts after the first. */
    retries: number;
    /** Attempts that may have reached a backend server. */
    backendAttempts: number;
    /** Whether the last attempt failed because of its connection, not because the host refused it. */
    connectionFailed: boolean;
    /** Whether an attempt may have run. If so, a later refusal does not mean that the call did not run. */
    mayHaveRun: boolean;
    lastRefusal: Refusal | undefined;
    /** Stage times of the last attempt. */
    stages: StageTimes;
    /** Target of the last attempt. */
    selection: Selection | undefined;
    /** Status of the response that was passed on. */
    status: number | undefined;
}

export const CallResult = {
    Completed: "completed",
    NotRun: "notRun",
    Unknown: "unknown",
    Reset: "reset",
} as const;
export type CallResult = (typeof CallResult)[keyof typeof CallResult];

/** Lowest HTTP status that reports a failure of the backend server. */
const minServerErrorStatus = 500;

/** Logs the result of a call with the fields needed to find its cause. */
export function logCallEnd(
    { board, now, telemetry }: CallContext,
    entry: EntryCall,
    { result, traceId }: { readonly result: CallResult; readonly traceId: string },
): void {
    const { call, callId, retries, lastRefusal, status, selection, stages, deadline } = entry;
    const { operation, service, partner, caller } = call.matched;
    const isServed = result === CallResult.Completed;
    const isError = isServed && status !== undefined && status >= minServerErrorStatus;
    const name = isError ? "call.serverError" : isServed ? "call.finished" : "call.unserved";
    telemetry.event(name, isServed && !isError ? "debug" : "info", {
        callId,
        traceId,
        caller,
        service: service.name,
        route: operation.name,
        partner,
        result,
        status,
        target: selection?.target.host,
        retries,
        reason: lastRefusal?.reason,
        leftMs: remainingMs(deadline, now()),
        ...stageLogFields(stages),
        totalMs: now() - stages.readAt,
        version: currentVersion(board),
    });
}

/** Logs a call that was refused because it was read too late. */
export function logLateCall(
    { board, now, telemetry }: CallContext,
    { callId = randomUUID(), matched }: IncomingCall,
    { refused, arrivedAt }: { readonly refused: Refusal; readonly arrivedAt: number },
): void {
    telemetry.event("call.unserved", "info", {
        callId,
        caller: matched.caller,
        service: matched.service.name,
        route: matched.operation.name,
        partner: matched.partner,
        result: CallResult.NotRun,
        reason: refused.reason,
        readAfterMs: Math.round(now() - arrivedAt),
        version: currentVersion(board),
    });
}
