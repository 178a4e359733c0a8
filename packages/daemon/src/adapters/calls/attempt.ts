import {
    AttemptFailure,
    defaultRetryAfterMs,
    recordCapacityReport,
    recordCallEnd,
    recordFailure,
    recordWaitRefusal,
    recordLoad,
    recordRefusal,
    recordCallStart,
    recordSuccess,
    refusal,
    RefusalReason,
    relayedReason,
    remainingMs,
    indicatesSaturation,
    Tier,
    type HostObservation,
    type MatchedCall,
    type Refusal,
    type Selection,
} from "@tanagertray/core";
import type { Cancellation } from "./cancellation.js";
import { capacityHeader, decodeCapacity } from "./capacityHeader.js";
import { bodySilenceMs, hopConnections, hopSilenceMs } from "./constants.js";
import type { CallContext } from "./context.js";
import { UnknownCause } from "./dialect.js";
import { exchange, ExchangeEnd, type ExchangeResult } from "./exchange.js";
import { headerValue } from "./headers.js";
import { currentVersion } from "../../controllers/advertisement.js";
import { routeHeader } from "./hopRoute.js";
import { attemptHeader, signHop } from "./hopToken.js";
import { callerLeft, startHeader, type IncomingCall } from "./incoming.js";
import { runLocally } from "./localCall.js";
import { DispositionKind, type Disposition, type ResponseSink } from "./disposition.js";
import { noteRejection } from "./rejections.js";
import type { BodyAttempt } from "./requestBody.js";
import { decodeTook, stageFields, tookHeader, type StageTimes } from "./stageTimes.js";

/** One attempt to carry a call to a host. */
export interface Attempt {
    readonly call: IncomingCall;
    readonly callId: string;
    readonly attemptId: string;
    readonly deadline: number;
    readonly startBy: number;
    readonly selection: Selection;
    readonly body: BodyAttempt;
    readonly traceparent: string;
    readonly control: Cancellation;
    readonly stages: StageTimes;
    readonly onHead: (status: number, rawHeaders: string[]) => ResponseSink;
}

export interface AttemptOutcome {
    /** Undefined when the backend server's response was passed on whole. */
    readonly failure?: AttemptFailure;
    readonly refusal?: Refusal;
    /** The other daemon itself said that the outcome is unknown, so asking it is useless. */
    readonly fateKnown: boolean;
}

const failureByEnd = {
    [ExchangeEnd.Completed]: undefined,
    [ExchangeEnd.NeverWritten]: AttemptFailure.NeverWritten,
    [ExchangeEnd.Lost]: AttemptFailure.Lost,
    [ExchangeEnd.Truncated]: AttemptFailure.Truncated,
} satisfies Record<ExchangeEnd, AttemptFailure | undefined>;

/** Makes one attempt and keeps the observations of its host. */
export async function makeAttempt(context: CallContext, attempt: Attempt): Promise<AttemptOutcome> {
    const { target, tier } = attempt.selection;
    const seen = context.observations.at(attempt.call.matched.service.name, target.host);
    const startedAt = context.now();
    const noteHead = () => recordSuccess(seen, context.now() - startedAt, context.now());
    recordCallStart(seen);
    const run = tier === Tier.OwnHost ? runOnOwnHost : runOnOtherHost;
    const outcome = await run(context, attempt, seen, noteHead);
    recordCallEnd(seen);
    if (outcome.failure !== undefined) {
        noteFailedAttempt(context, attempt, outcome, seen);
    }
    if (outcome.refusal !== undefined && outcome.failure === AttemptFailure.Refused) {
        const { reason, retryAfterMs } = outcome.refusal;
        recordRefusal(seen, context.now(), { saturated: indicatesSaturation(reason), retryAfterMs });
        // The own host decides on each call without a hop.
        if (reason === RefusalReason.WaitTooLong && tier !== Tier.OwnHost) {
            recordWaitRefusal(seen, callGroup(attempt.call.matched), retryAfterMs, context.now());
        }
    } else if (outcome.failure !== undefined && attempt.control.reason !== callerLeft) {
        recordFailure(seen, context.now());
        if (outcome.failure === AttemptFailure.NeverWritten) {
            // No connection could be opened, so the next calls would only spend the retry budget.
            recordRefusal(seen, context.now(), { saturated: true, retryAfterMs: defaultRetryAfterMs });
        }
    }
    return outcome;
}

/** Key of the calls of one operation and one place in the fair queue: a refusal of one of them holds for all. */
export function callGroup({ partner, operation }: MatchedCall): string {
    return `${partner}/${operation.name}`;
}

/** Says why an attempt failed, with what the choice of its host was based on. */
function noteFailedAttempt(
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
        ...stageFields(stages),
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
    _seen: HostObservation,
    noteHead: () => void,
): Promise<AttemptOutcome> {
    const { call, body } = attempt;
    const outcome = await runLocally(context, {
        ...attempt,
        matched: call.matched,
        method: call.method,
        path: call.backendPath,
        headers: call.head.headers,
        awaitsBody: false,
        onAdmitted: () => body.commit(),
        onHead(status, raw) {
            noteHead();
            return attempt.onHead(status, raw);
        },
    });
    return outcome.caseOf<AttemptOutcome>({
        Left: refused => ({ failure: AttemptFailure.Refused, refusal: refused, fateKnown: true }),
        Right: result => ofResult(result, true),
    });
}

async function runOnOtherHost(
    context: CallContext,
    attempt: Attempt,
    seen: HostObservation,
    noteHead: () => void,
): Promise<AttemptOutcome> {
    const { call, body, selection } = attempt;
    let refused: { readonly reason: string; readonly retryAfterMs: number } | undefined;

    function onHead(status: number, raw: string[]): Disposition {
        const load = Number(headerValue(raw, "tanagertray-load") ?? Number.NaN);
        if (load >= 0) {
            recordLoad(seen, load, context.now());
        }
        const capacity = decodeCapacity(headerValue(raw, capacityHeader));
        if (capacity !== undefined) {
            recordCapacityReport(seen, capacity, context.now());
        }
        const reason = headerValue(raw, "tanagertray-reason");
        if (reason !== undefined) {
            const retryAfterMs = Number(headerValue(raw, "tanagertray-retry-after-ms") ?? Number.NaN);
            refused = { reason, retryAfterMs: retryAfterMs >= 0 ? retryAfterMs : defaultRetryAfterMs };
            return { kind: DispositionKind.Drop };
        }
        attempt.stages.answeredAt = context.now();
        attempt.stages.took = decodeTook(headerValue(raw, tookHeader));
        noteHead();
        return { kind: DispositionKind.Pass, sink: attempt.onHead(status, raw) };
    }

    const { address } = selection.target;
    const result = await exchange({
        connections: context.pools.get(address, hopConnections),
        id: attempt.attemptId,
        idHeader: attemptHeader,
        requiresEchoedId: true,
        method: call.method,
        path: call.url,
        headers: hopHeaders(context, attempt),
        body: body.payload,
        cancellation: attempt.control,
        timers: context.timers,
        headIdleTimeoutMs: hopSilenceMs,
        bodyIdleTimeoutMs: bodySilenceMs,
        mayWrite() {
            const mayStart = remainingMs(attempt.startBy, context.now()) > 0;
            if (mayStart) {
                attempt.stages.sentAt = context.now();
            }
            return mayStart;
        },
        onInformationalResponse: () => body.commit(),
        onHead,
    });
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
            saysNotRun: saysRefused,
        };
        noteRejection(context, source, result.rejection);
    }
    if (refused?.reason === UnknownCause.Lost) {
        return { failure: AttemptFailure.Lost, fateKnown: true };
    }
    if (refused !== undefined) {
        const { reason, retryAfterMs } = refused;
        const known = refusal(relayedReason(reason), retryAfterMs);
        return { failure: AttemptFailure.Refused, refusal: known, fateKnown: true };
    }
    return ofResult(result, false);
}

/** Whether another daemon refuses the call, other than by saying that its outcome is unknown. */
function saysRefused({ raw }: { readonly raw: readonly string[] }): boolean {
    const reason = headerValue(raw, "tanagertray-reason");
    return reason !== undefined && reason !== UnknownCause.Lost;
}

function ofResult(result: ExchangeResult, fateKnown: boolean): AttemptOutcome {
    const failure = failureByEnd[result.end];
    const unreachable = { refusal: refusal(RefusalReason.Unreachable) };
    return {
        fateKnown,
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
        ...[startHeader, String(Math.max(1, remainingMs(attempt.startBy, context.now())))],
        ...(call.route === undefined ? [] : [routeHeader, call.route]),
    ];
}
