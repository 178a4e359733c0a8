import {
    AttemptFailure,
    chooseTarget,
    isFinalRefusal,
    minRefusedWaitMs,
    NextStep,
    nextStepAfter,
    recordCapacityReport,
    refusal,
    RefusalReason,
    remainingMs,
    Tier,
    type Refusal,
    type Selection,
    type Service,
    type ServiceTargets,
} from "@tanagertray/core";
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { callGroup, mayHaveReachedBackend, type AttemptOutcome } from "./attempt.js";
import { maxFateWaitMs, maxHostsTried, minAttemptMs } from "./constants.js";
import type { CallContext } from "./context.js";
import { CallResult, logCallEnd, logLateCall, type EntryCall } from "./entryCall.js";
import { UnknownCause } from "./dialect.js";
import { makeEntryAttempt } from "./entryAttempt.js";
import {
    callerDisconnected,
    CallPlace,
    cancelIfDisconnected,
    checkAcceptingCalls,
    checkShutdownTimeLeft,
    deadlinePassed,
    earliestArrival,
    lateRefusal,
    openCancellation,
    readEntryCall,
    shutdownLimitReached,
    timeLimitsOf,
} from "./incoming.js";
import { currentVersion } from "../../controllers/advertisement.js";
import { createRequestBody } from "./requestBody.js";
import { resetConnection, respond } from "./responses.js";
import { hopDurations, localDurations } from "./stageTimes.js";

/** Minimum time to wait for the fate of a call, even if its deadline has passed, in milliseconds. */
const minFateWaitMs = 200;
/** Assumed size of a response, including the heads of request and response, in kilobytes. */
const assumedResponseKilobytes = 2;
const bytesPerKilobyte = 1_024;

/** Forwards a caller's request to a host that offers the service, and sends the response to the caller. */
export async function handleEntry(
    context: CallContext,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const { telemetry, dialect } = context;
    const arrivedAt = earliestArrival(context, request);
    const checked = checkAcceptingCalls(context, arrivedAt)
        .chain(() => readEntryCall(context, request))
        .chain(call => checkShutdownTimeLeft(context, call));
    if (checked.isLeft()) {
        const refused = checked.extract() as Refusal;
        const callId = request.headers[dialect.callIdHeader];
        telemetry.event("call.refused", "info", {
            callId: String(callId ?? ""),
            reason: refused.reason,
            hostName: request.headers.host,
            readAfterMs: Math.round(context.now() - arrivedAt),
            readiness: context.board.read("readiness").state,
            version: currentVersion(context.board),
        });
        return respond(response, dialect.notRun(refused), {
            close: refused.reason === RefusalReason.Draining,
        });
    }
    const call = checked.unsafeCoerce();
    const refusedLate = lateRefusal(context, call, arrivedAt);
    if (refusedLate !== undefined) {
        logLateCall(context, call, { refused: refusedLate, arrivedAt });
        return respond(response, dialect.notRun(refusedLate));
    }
    const { operation, service } = call.matched;
    const { deadline, startBy } = timeLimitsOf(context, call, arrivedAt);
    const readAt = context.now();
    const callId = call.callId ?? randomUUID();
    const cancelScope = openCancellation(context, response, { deadline, place: CallPlace.Entry, callId });
    const span = telemetry.startSpan("entry", call.head.daemonHeaders.get("traceparent"));
    const entry: EntryCall = {
        call,
        callId,
        deadline,
        startBy,
        body: createRequestBody(request, {
            hasBody: call.head.hasBody,
            declaredBytes: call.head.declaredBytes,
            maxBytes: operation.maxBodyBytes,
            repeatable: operation.repeatable,
            nextPoll: context.arrivals.nextPoll,
        }),
        cancellation: cancelScope.cancellation,
        response,
        traceparent: span.traceparent,
        triedHosts: new Set(),
        retries: 0,
        backendAttempts: 0,
        connectionFailed: false,
        mayHaveRun: false,
        lastRefusal: undefined,
        stages: { arrivedAt, readAt, startedAt: readAt },
        selection: undefined,
        status: undefined,
    };
    const disconnectCheck = cancelIfDisconnected(context, cancelScope.cancellation, { request, arrivedAt });
    if (disconnectCheck !== undefined) {
        await disconnectCheck;
    }
    context.retryBudgets.recordCall(service.name);
    context.redirectBudgets.recordCall(service.name);
    if (call.head.hasBody) {
        await (call.head.declaredBytes === undefined
            ? entry.body.enforceSmallLimit(cancelScope.cancellation)
            : entry.body.readBuffered());
    }
    const result = await runAttempts(context, entry);
    cancelScope.close();
    entry.body.drop();
    const { retries, selection, stages } = entry;
    span.end(
        result !== CallResult.Completed,
        { service: service.name, operation: operation.name, result, retries },
        selection?.tier === Tier.OwnHost ? localDurations(stages) : hopDurations(stages),
    );
    logCallEnd(context, entry, { result, traceId: span.traceId });
}

async function runAttempts(context: CallContext, entry: EntryCall): Promise<CallResult> {
    for (;;) {
        const selection = selectTarget(context, entry);
        if (selection === undefined || entry.cancellation.cancelled || entry.body.tooLarge()) {
            return answerFailedCall(context, entry);
        }
        entry.triedHosts.add(selection.target.host);
        const attemptId = randomUUID();
        const outcome = await makeEntryAttempt(context, entry, {
            selection,
            attemptId,
            selectOther: () => selectTarget(context, entry, { mayRepeatHost: false }),
        });
        if (outcome.failure === undefined) {
            return CallResult.Completed;
        }
        entry.lastRefusal = outcome.refusal ?? entry.lastRefusal;
        entry.connectionFailed =
            outcome.failure !== AttemptFailure.Refused ||
            outcome.refusal?.reason === RefusalReason.Unreachable;
        const step = await chooseNextStep(context, entry, { outcome, selection, attemptId });
        if (step === NextStep.Reset) {
            resetConnection(entry.response);
            return CallResult.Reset;
        }
        if (
            step !== NextStep.Retry ||
            isTooLateToRetry(context, entry) ||
            !consumeRetry(context, entry, outcome)
        ) {
            return answerFailedCall(context, entry);
        }
        entry.retries += 1;
    }
}

/** Whether too little time is left for another attempt. */
function isTooLateToRetry({ now }: CallContext, { startBy }: EntryCall): boolean {
    return remainingMs(startBy, now()) < minAttemptMs;
}

/** Consumes a retry or a redirect. Attempts that reached no backend server add no load there and count as redirects. */
function consumeRetry(context: CallContext, entry: EntryCall, outcome: AttemptOutcome): boolean {
    const { service, maxAttempts } = entry.call.matched;
    if (mayHaveReachedBackend(outcome)) {
        entry.backendAttempts += 1;
        return context.retryBudgets.consumeRetry(service.name, {
            retries: entry.backendAttempts - 1,
            maxAttempts,
        });
    }
    const redirects = entry.retries - entry.backendAttempts;
    return context.redirectBudgets.consumeRetry(service.name, {
        retries: redirects,
        maxAttempts: maxHostsTried,
    });
}

function selectTarget(
    context: CallContext,
    entry: EntryCall,
    { mayRepeatHost = entry.connectionFailed } = {},
): Selection | undefined {
    const { service } = entry.call.matched;
    const targets = context.board.read("targets").get(service.name);
    recordOwnCapacity(context, service, targets);
    const options = {
        distances: context.board.read("settings").distances,
        kilobytes: (entry.call.head.declaredBytes ?? 0) / bytesPerKilobyte + assumedResponseKilobytes,
        observations: context.observations.ofService(service.name),
        now: context.now(),
        random: context.random,
        coldStartMs: service.coldStartMs,
        excluded: entry.triedHosts,
        operation: callGroup(entry.call.matched),
        objectiveMs: entry.stages.arrivedAt + entry.call.matched.latencyObjectiveMs - context.now(),
    };
    if (targets === undefined) {
        return undefined;
    }
    // A failed connection does not mean that its host is down, so the host is tried again if there is no other.
    const fallback = mayRepeatHost ? chooseTarget(targets, { ...options, excluded: new Set() }) : undefined;
    const selection = chooseTarget(targets, options) ?? fallback;
    const refusedWaitMs = selection === undefined ? minRefusedWaitMs(targets, options) : undefined;
    if (refusedWaitMs !== undefined) {
        entry.lastRefusal ??= refusal(RefusalReason.WaitTooLong, refusedWaitMs);
    }
    return selection;
}

/** Records the capacity of this host itself. Other hosts report theirs with each response. */
function recordOwnCapacity(
    context: CallContext,
    service: Service,
    targets: ServiceTargets | undefined,
): void {
    const own = targets?.[Tier.OwnHost][0];
    const report = own === undefined ? undefined : context.admissions.report(service);
    if (own !== undefined && report !== undefined) {
        recordCapacityReport(context.observations.ofHost(service.name, own.host), report, context.now());
    }
}

/** Chooses the next step after a failed attempt. `Retry` is returned only if the call may be sent again. */
async function chooseNextStep(
    context: CallContext,
    entry: EntryCall,
    attempt: { outcome: AttemptOutcome; selection: Selection; attemptId: string },
): Promise<NextStep> {
    const { outcome, selection, attemptId } = attempt;
    const replayable = entry.body.replayable() && !entry.body.tooLarge();
    const remote = selection.tier !== Tier.OwnHost && !outcome.outcomeReported;
    const { repeatable } = entry.call.matched.operation;
    const step = nextStepAfter(outcome.failure as AttemptFailure, { repeatable, replayable, remote });
    if (outcome.failure === AttemptFailure.Refused && isFinalRefusal(outcome.refusal?.reason ?? "")) {
        return NextStep.ReportNotRun;
    }
    if (outcome.failure !== AttemptFailure.Lost || entry.cancellation.reason === callerDisconnected) {
        return step;
    }
    // Once the shutdown limit is reached, the answer of the other daemon would come after this one has closed its
    // connections.
    if (step === NextStep.AskFate && entry.cancellation.reason !== shutdownLimitReached) {
        const waitMs = Math.max(
            minFateWaitMs,
            Math.min(maxFateWaitMs, remainingMs(entry.deadline, context.now())),
        );
        if (await context.fates.requestBar(selection.target, attemptId, waitMs)) {
            entry.lastRefusal = refusal(RefusalReason.Unreachable);
            return replayable ? NextStep.Retry : NextStep.ReportNotRun;
        }
    }
    entry.mayHaveRun = true;
    return step === NextStep.AskFate ? NextStep.ReportUnknown : step;
}

/** Sends the response of the daemon itself for a call that no backend server answered. */
function answerFailedCall(context: CallContext, entry: EntryCall): CallResult {
    const { dialect } = context;
    if (entry.mayHaveRun) {
        const isLate = isTooLateToRetry(context, entry) || entry.cancellation.reason === deadlinePassed;
        const cause = isLate ? UnknownCause.DeadlinePassed : UnknownCause.Lost;
        respond(entry.response, dialect.unknown(cause));
        return CallResult.Unknown;
    }
    const refused = entry.body.tooLarge()
        ? refusal(RefusalReason.TooLarge)
        : entry.cancellation.cancelled
          ? refusal(RefusalReason.DeadlinePassed)
          : (entry.lastRefusal ?? refusal(RefusalReason.NoTarget));
    entry.lastRefusal = refused;
    respond(entry.response, dialect.notRun(refused));
    return CallResult.NotRun;
}
