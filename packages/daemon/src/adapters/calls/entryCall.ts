import { remainingMs, type Refusal, type Selection } from "@tanagertray/core";
import { randomUUID } from "node:crypto";
import type { ServerResponse } from "node:http";
import { currentVersion } from "../../controllers/advertisement.js";
import type { Cancellation } from "./cancellation.js";
import type { CallContext } from "./context.js";
import type { IncomingCall } from "./incoming.js";
import type { RequestBody } from "./requestBody.js";
import { stageFields, type StageTimes } from "./stageTimes.js";

/** State of one call at its entry daemon. */
export interface EntryCall {
    readonly call: IncomingCall;
    readonly callId: string;
    readonly deadline: number;
    readonly startBy: number;
    readonly body: RequestBody;
    readonly control: Cancellation;
    readonly response: ServerResponse;
    readonly traceparent: string;
    readonly excluded: Set<string>;
    /** Attempts after the first. */
    retries: number;
    /** Attempts that may have reached a backend server. */
    arrivals: number;
    /** The last attempt failed by its connection, not by a refusal. */
    connectionFailed: boolean;
    /** An earlier attempt may have run, so that no later refusal means that the call did not run. */
    mayHaveRun: boolean;
    lastRefusal: Refusal | undefined;
    /** Of the last attempt. */
    stages: StageTimes;
    selection: Selection | undefined;
    /** Of the response that was passed on. */
    status: number | undefined;
}

export const CallResult = {
    Completed: "completed",
    NotRun: "notRun",
    Unknown: "unknown",
    Reset: "reset",
} as const;
export type CallResult = (typeof CallResult)[keyof typeof CallResult];

/** Status from which on the backend server itself says that it failed. */
const serverErrorStatus = 500;

/** Says how a call ended, with what a look for its cause needs. */
export function noteEnd(
    { board, now, telemetry }: CallContext,
    entry: EntryCall,
    { result, traceId }: { readonly result: CallResult; readonly traceId: string },
): void {
    const { call, callId, retries, lastRefusal, status, selection, stages, deadline } = entry;
    const { operation, service, partner, caller } = call.matched;
    const isServed = result === CallResult.Completed;
    const isError = isServed && status !== undefined && status >= serverErrorStatus;
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
        ...stageFields(stages),
        totalMs: now() - stages.readAt,
        version: currentVersion(board),
    });
}

/** Says that a call was refused because it was read too late. */
export function noteLate(
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
