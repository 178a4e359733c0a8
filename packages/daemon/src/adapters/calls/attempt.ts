import {
    AttemptFailure,
    defaultRetryAfterMs,
    indicatesSaturation,
    reachedBackend,
    recordCallEnd,
    recordCallStart,
    recordCapacityReport,
    recordFailure,
    recordLoad,
    recordRefusal,
    recordSuccess,
    recordWaitRefusal,
    refusal,
    RefusalReason,
    relayedReason,
    remainingMs,
    Tier,
    type HostObservation,
    type MatchedCall,
    type Refusal,
    type Selection,
} from "@tanagertray/core";
import type { Cancellation } from "./cancellation.js";
import { capacityHeader, decodeCapacity } from "./capacityHeader.js";
import { hopSilenceMs, maxHopConnections, maxHopSends } from "./constants.js";
import type { CallContext } from "./context.js";
import { UnknownCause } from "./dialect.js";
import { entryHostHeader } from "./entryContacts.js";
import { exchange, ExchangeEnd, type ExchangeResult } from "./exchange.js";
import { headerValue } from "./headers.js";
import { currentVersion } from "../../controllers/advertisement.js";
import { routeHeader } from "./hopRoute.js";
import { attemptHeader, signHop } from "./hopToken.js";
import {
    answeredElsewhere,
    callerDisconnected,
    pollAgeHeader,
    pollAgeMs,
    startWithinHeader,
    type IncomingCall,
} from "./incoming.js";
import { runLocally } from "./localCall.js";
import { DispositionKind, type Disposition, type ResponseSink } from "./disposition.js";
import { longTurnMs } from "./pendingEvents.js";
import { logRejection } from "./rejections.js";
import type { BodyAttempt } from "./requestBody.js";
import { decodeHopStages, hopStagesHeader, stageLogFields, type StageTimes } from "./stageTimes.js";

/** Header of a hop whose sender wants to know when the backend server is likely not to answer. */
export const silenceHeader = "tanagertray-report-silence";
export const silenceHeaderValue = "1";
/** Status of the informational response that reports it. Daemons that do not know it treat it like a 102. */
const silenceStatus = 103;

/** One attempt to forward a call to a host. */
export interface Attempt {
    readonly call: IncomingCall;
    readonly callId: string;
    readonly attemptId: string;
    readonly deadline: number;
    readonly startBy: number;
    readonly selection: Selection;
    readonly body: BodyAttempt;
    /** Called when the backend server is likely not to answer; only for a call that may be sent to another host. */
    readonly onSilence: (() => void) | undefined;
    readonly traceparent: string;
    readonly cancellation: Cancellation;
    readonly stages: StageTimes;
    readonly onHead: (status: number, rawHeaders: string[]) => ResponseSink;
}

export interface AttemptOutcome {
    /** `undefined` if the whole response of the backend server was passed on. */
    readonly failure?: AttemptFailure;
    readonly refusal?: Refusal;
    /** Whether the daemon of the host reported the outcome itself, even if as unknown, so that it need not be asked. */
    readonly outcomeReported: boolean;
}

/** Reasons of a cancellation that show nothing about the host. */
const harmlessReasons: ReadonlySet<Error | undefined> = new Set([callerDisconnected, answeredElsewhere]);

const failureByEnd = {
    [ExchangeEnd.Completed]: undefined,
    [ExchangeEnd.NeverWritten]: AttemptFailure.NeverWritten,
    [ExchangeEnd.Lost]: AttemptFailure.Lost,
    [ExchangeEnd.Truncated]: AttemptFailure.Truncated,
} satisfies Record<ExchangeEnd, AttemptFailure | undefined>;

/** Makes one attempt and records what it shows about its host. */
export async function makeAttempt(context: CallContext, attempt: Attempt): Promise<AttemptOutcome> {
    const { target, tier } = attempt.selection;
    const observation = context.observations.ofHost(attempt.call.matched.service.name, target.host);
    const startedAt = context.now();
    const recordResponseHead = () => recordSuccess(observation, context.now() - startedAt, context.now());
    recordCallStart(observation);
    const run = tier === Tier.OwnHost ? runOnOwnHost : runOnRemoteHost;
    const outcome = await run(context, attempt, observation, recordResponseHead);
    recordCallEnd(observation);
    if (outcome.failure !== undefined) {
        logFailedAttempt(context, attempt, outcome, observation);
    }
    if (outcome.refusal !== undefined && outcome.failure === AttemptFailure.Refused) {
        const { reason, retryAfterMs } = outcome.refusal;
        recordRefusal(observation, context.now(), { saturated: indicatesSaturation(reason), retryAfterMs });
        // This host decides on each call without a hop, so its own refusals are not remembered.
        if (reason === RefusalReason.WaitTooLong && tier !== Tier.OwnHost) {
            recordWaitRefusal(observation, callGroup(attempt.call.matched), retryAfterMs, context.now());
        }
    } else if (outcome.failure !== undefined && !harmlessReasons.has(attempt.cancellation.reason)) {
        recordFailure(observation, context.now());
        if (outcome.failure === AttemptFailure.NeverWritten) {
            // No connection could be opened, so further calls to the host would only consume the redirect budget.
            recordRefusal(observation, context.now(), { saturated: true, retryAfterMs: defaultRetryAfterMs });
        }
    }
    return outcome;
}

/** Whether the attempt may have reached a backend server. */
export function mayHaveReachedBackend({ failure, refusal }: AttemptOutcome): boolean {
    return failure === AttemptFailure.Refused
        ? reachedBackend(refusal?.reason)
        : failure !== AttemptFailure.NeverWritten;
}

/** Key of the calls of one partner and operation. They share a place in the fair queue, so a refusal holds for all. */
export function callGroup({ partner, operation }: MatchedCall): string {
    return `${partner}/${operation.name}`;
}

/** Logs why an attempt failed, with the observations used to select its host. */
function logFailedAttempt(
    { telemetry, now, board }: CallContext,
    { callId, attemptId, deadline, selection, call, stages }: Attempt,
    { failure, refusal: refused }: AttemptOutcome,
    { report, inFlight }: HostObservation,
): void {
    telemetry.event("call.attemptFailed", "info", {
        callId,
        attemptId,
        service: call.matched.service.name,
        target: selection.target.host,
        tier: selection.tier,
        failure,
        reason: refused?.reason,
        leftMs: remainingMs(deadline, now()),
        ...stageLogFields(stages),
        inFlight,
        reportedCalls: report?.calls,
        reportedSlots: report?.slots,
        reportAgeMs: report === undefined ? undefined : now() - report.at,
        version: currentVersion(board),
    });
}

async function runOnOwnHost(
    context: CallContext,
    attempt: Attempt,
    _observation: HostObservation,
    recordResponseHead: () => void,
): Promise<AttemptOutcome> {
    const { call, body } = attempt;
    const outcome = await runLocally(context, {
        ...attempt,
        matched: call.matched,
        method: call.method,
        path: call.backendPath,
        headers: call.head.headers,
        bodyFollowsAdmission: false,
        onAdmitted: () => body.commit(),
        onHead(status, raw) {
            recordResponseHead();
            return attempt.onHead(status, raw);
        },
    });
    return outcome.caseOf<AttemptOutcome>({
        Left: refused => ({ failure: AttemptFailure.Refused, refusal: refused, outcomeReported: true }),
        Right: result => outcomeOf(result, true),
    });
}

async function runOnRemoteHost(
    context: CallContext,
    attempt: Attempt,
    observation: HostObservation,
    recordResponseHead: () => void,
): Promise<AttemptOutcome> {
    const { call, body, selection } = attempt;
    let refused: { readonly reason: string; readonly retryAfterMs: number } | undefined;

    function onHead(status: number, raw: string[]): Disposition {
        const load = Number(headerValue(raw, "tanagertray-load") ?? Number.NaN);
        if (load >= 0) {
            recordLoad(observation, load, context.now());
        }
        const capacity = decodeCapacity(headerValue(raw, capacityHeader));
        if (capacity !== undefined) {
            recordCapacityReport(observation, capacity, context.now());
        }
        const reason = headerValue(raw, "tanagertray-reason");
        if (reason !== undefined) {
            const retryAfterMs = Number(headerValue(raw, "tanagertray-retry-after-ms") ?? Number.NaN);
            refused = { reason, retryAfterMs: retryAfterMs >= 0 ? retryAfterMs : defaultRetryAfterMs };
            return { kind: DispositionKind.Drop };
        }
        attempt.stages.answeredAt = context.now();
        attempt.stages.remoteStages = decodeHopStages(headerValue(raw, hopStagesHeader));
        recordResponseHead();
        return { kind: DispositionKind.Pass, sink: attempt.onHead(status, raw) };
    }

    const { address } = selection.target;
    let statedPollAgeMs = 0;
    let isOutdated = false;
    const send = () =>
        exchange({
            connections: context.pools.get(address, maxHopConnections),
            id: attempt.attemptId,
            idHeader: attemptHeader,
            requiresEchoedId: true,
            method: call.method,
            path: call.url,
            headers: hopHeaders(context, attempt),
            lateHeaders() {
                statedPollAgeMs = pollAgeMs(context);
                return [pollAgeHeader, String(statedPollAgeMs)];
            },
            body: body.payload,
            cancellation: attempt.cancellation,
            timers: context.timers,
            headIdleTimeoutMs: hopSilenceMs,
            mayWrite() {
                const mayStart = remainingMs(attempt.startBy, context.now()) > 0;
                // A new connection may have been made in a long turn, after the age was stated.
                isOutdated = mayStart && pollAgeMs(context) > statedPollAgeMs + longTurnMs;
                if (mayStart && !isOutdated) {
                    attempt.stages.sentAt = context.now();
                }
                return mayStart && !isOutdated;
            },
            onInformationalResponse(status) {
                body.commit();
                if (status === silenceStatus) {
                    attempt.onSilence?.();
                }
            },
            onHead,
        });
    let result = await send();
    for (let sends = 1; isOutdated && sends < maxHopSends && !attempt.cancellation.cancelled; sends += 1) {
        result = await send();
    }
    if (result.silent) {
        context.pools.retire(address);
        context.telemetry.event("call.poolReplaced", "warn", { address });
    }
    if (result.rejection !== undefined) {
        const source = {
            callId: attempt.callId,
            id: attempt.attemptId,
            idHeader: attemptHeader,
            server: selection.target.host,
            address,
            saysNotRun: isRefusal,
        };
        logRejection(context, source, result.rejection);
    }
    if (refused?.reason === UnknownCause.Lost) {
        return { failure: AttemptFailure.Lost, outcomeReported: true };
    }
    if (refused !== undefined) {
        const { reason, retryAfterMs } = refused;
        const relayed = refusal(relayedReason(reason), retryAfterMs);
        return { failure: AttemptFailure.Refused, refusal: relayed, outcomeReported: true };
    }
    return outcomeOf(result, false);
}

/** Whether the head is a refusal by another daemon that reports the call as not run. */
function isRefusal({ raw }: { readonly raw: readonly string[] }): boolean {
    const reason = headerValue(raw, "tanagertray-reason");
    return reason !== undefined && reason !== UnknownCause.Lost;
}

function outcomeOf(result: ExchangeResult, outcomeReported: boolean): AttemptOutcome {
    const failure = failureByEnd[result.end];
    const unreachable = { refusal: refusal(RefusalReason.Unreachable) };
    return {
        outcomeReported,
        ...(failure === undefined ? {} : { failure }),
        ...(failure === AttemptFailure.NeverWritten ? unreachable : {}),
    };
}

function hopHeaders(context: CallContext, attempt: Attempt): string[] {
    const { call, callId, attemptId } = attempt;
    const { caller, partner, service } = call.matched;
    const deadlineMs = String(Math.max(1, remainingMs(attempt.deadline, context.now())));
    const claims = {
        attemptId,
        callId,
        caller,
        partner,
        service: service.name,
        method: call.method,
        path: call.url,
        deadlineMs,
        route: call.route,
    };
    const key = context.board.read("settings").keys.peer?.[0];
    return [
        ...call.head.headers,
        ...["tanagertray-caller", caller, "tanagertray-partner", partner],
        ...["tanagertray-call-id", callId, "tanagertray-deadline-ms", deadlineMs],
        ...["tanagertray-hop", signHop(claims, key, context.now())],
        ...["traceparent", attempt.traceparent],
        ...[entryHostHeader, context.board.read("settings").host],
        ...[startWithinHeader, String(Math.max(1, remainingMs(attempt.startBy, context.now())))],
        ...(call.route === undefined ? [] : [routeHeader, call.route]),
        ...(attempt.onSilence === undefined ? [] : [silenceHeader, silenceHeaderValue]),
    ];
}
