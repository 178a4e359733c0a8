import {
    reachedBackend,
    AttemptFailure,
    CallOutcome,
    chooseTarget,
    isFinalRefusal,
    minRefusedWaitMs,
    nextStepAfter,
    NextStep,
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
import { makeAttempt, callGroup, type AttemptOutcome } from "./attempt.js";
import { fateWaitMs, leastAttemptMs, maxRedirects } from "./constants.js";
import type { CallContext } from "./context.js";
import { CallResult, noteEnd, noteLate, type EntryCall } from "./entryCall.js";
import { UnknownCause } from "./dialect.js";
import { headerValue, outcomeHeader, responseHeaders } from "./headers.js";
import {
    callerLeft,
    cancelIfLeft,
    checkAdmitting,
    checkTimeLeft,
    daemonStops,
    deadlinePassed,
    earliestArrival,
    lateRefusal,
    openCancel,
    readEntryCall,
    timesOf,
} from "./incoming.js";
import { currentVersion } from "../../controllers/advertisement.js";
import { createRequestBody } from "./requestBody.js";
import { createSink, isRequestComplete, resetConnection, respond } from "./responses.js";
import { hopStages, localStages } from "./stageTimes.js";

/** Time to ask for a call's fate once the deadline has passed, in milliseconds. */
const lateFateWaitMs = 200;
/** Size that an answer is taken to have, with the heads of call and answer, in kilobytes. */
const answerKilobytes = 2;
const bytesPerKilobyte = 1_024;
const keptHeaders: ReadonlySet<string> = new Set([outcomeHeader]);
const noHeaders: ReadonlySet<string> = new Set();
const unknownOutcomeHeader = [outcomeHeader, CallOutcome.Unknown];

/** Carries a caller's request to a host that offers the service, and answers the caller. */
export async function handleEntry(
    context: CallContext,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const { telemetry, dialect } = context;
    const arrivedAt = earliestArrival(context, request);
    const checked = checkAdmitting(context, arrivedAt)
        .chain(() => readEntryCall(context, request))
        .chain(call => checkTimeLeft(context, call));
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
    const late = lateRefusal(context, call, arrivedAt);
    if (late !== undefined) {
        noteLate(context, call, { refused: late, arrivedAt });
        return respond(response, dialect.notRun(late));
    }
    const { operation, service } = call.matched;
    const { deadline, startBy } = timesOf(context, call, arrivedAt);
    const readAt = context.now();
    const cancel = openCancel(context, response, deadline);
    const span = telemetry.startSpan("entry", call.head.daemonHeaders.get("traceparent"));
    const entry: EntryCall = {
        call,
        callId: call.callId ?? randomUUID(),
        deadline,
        startBy,
        body: createRequestBody(request, {
            hasBody: call.head.hasBody,
            declaredBytes: call.head.declaredBytes,
            maxBytes: operation.maxBodyBytes,
            repeatable: operation.repeatable,
        }),
        control: cancel.control,
        response,
        traceparent: span.traceparent,
        excluded: new Set(),
        retries: 0,
        arrivals: 0,
        connectionFailed: false,
        mayHaveRun: false,
        lastRefusal: undefined,
        stages: { arrivedAt, readAt, startedAt: readAt },
        selection: undefined,
        status: undefined,
    };
    const checkedCaller = cancelIfLeft(context, cancel.control, { request, arrivedAt });
    if (checkedCaller !== undefined) {
        await checkedCaller;
    }
    context.retryBudgets.noteCall(service.name);
    context.redirectBudgets.noteCall(service.name);
    if (call.head.hasBody) {
        await (call.head.declaredBytes === undefined
            ? entry.body.enforceSmallLimit(cancel.control)
            : entry.body.readBuffered());
    }
    const result = await carry(context, entry);
    cancel.close();
    entry.body.drop();
    const { retries, selection, stages } = entry;
    span.end(
        result !== CallResult.Completed,
        { service: service.name, operation: operation.name, result, retries },
        selection?.tier === Tier.OwnHost ? localStages(stages) : hopStages(stages),
    );
    noteEnd(context, entry, { result, traceId: span.traceId });
}

async function carry(context: CallContext, entry: EntryCall): Promise<CallResult> {
    for (;;) {
        const selection = select(context, entry);
        if (selection === undefined || entry.control.cancelled || entry.body.tooLarge()) {
            return finish(context, entry);
        }
        entry.excluded.add(selection.target.host);
        const attemptId = randomUUID();
        const outcome = await attemptOnce(context, entry, selection, attemptId);
        if (outcome.failure === undefined) {
            return CallResult.Completed;
        }
        entry.lastRefusal = outcome.refusal ?? entry.lastRefusal;
        entry.connectionFailed =
            outcome.failure !== AttemptFailure.Refused ||
            outcome.refusal?.reason === RefusalReason.Unreachable;
        const step = await decide(context, entry, { outcome, selection, attemptId });
        if (step === NextStep.Reset) {
            resetConnection(entry.response);
            return CallResult.Reset;
        }
        if (step !== NextStep.Retry || isOver(context, entry) || !takeAnother(context, entry, outcome)) {
            return finish(context, entry);
        }
        entry.retries += 1;
    }
}

/** Whether too little time is left for another attempt. */
function isOver({ now }: CallContext, { startBy }: EntryCall): boolean {
    return remainingMs(startBy, now()) < leastAttemptMs;
}

/** Takes the right to another attempt. One that reached no backend server costs the servers nothing. */
function takeAnother(context: CallContext, entry: EntryCall, outcome: AttemptOutcome): boolean {
    const { service, maxAttempts } = entry.call.matched;
    if (hasArrived(outcome)) {
        entry.arrivals += 1;
        return context.retryBudgets.take(service.name, { retries: entry.arrivals - 1, maxAttempts });
    }
    const redirects = entry.retries - entry.arrivals;
    return context.redirectBudgets.take(service.name, { retries: redirects, maxAttempts: maxRedirects });
}

/** Whether the attempt may have reached a backend server. */
function hasArrived({ failure, refusal }: AttemptOutcome): boolean {
    return failure === AttemptFailure.Refused
        ? reachedBackend(refusal?.reason)
        : failure !== AttemptFailure.NeverWritten;
}

function select(context: CallContext, entry: EntryCall): Selection | undefined {
    const { service } = entry.call.matched;
    const targets = context.board.read("targets").get(service.name);
    noteOwnCapacity(context, service, targets);
    const options = {
        distances: context.board.read("settings").distances,
        kilobytes: (entry.call.head.declaredBytes ?? 0) / bytesPerKilobyte + answerKilobytes,
        observations: context.observations.of(service.name),
        now: context.now(),
        random: context.random,
        coldStartMs: service.coldStartMs,
        excluded: entry.excluded,
        operation: callGroup(entry.call.matched),
    };
    if (targets === undefined) {
        return undefined;
    }
    // A broken connection says little about its host, so the host is tried again when there is no other.
    const again = entry.connectionFailed
        ? chooseTarget(targets, { ...options, excluded: new Set() })
        : undefined;
    const selection = chooseTarget(targets, options) ?? again;
    const refusedMs = selection === undefined ? minRefusedWaitMs(targets, options) : undefined;
    if (refusedMs !== undefined) {
        entry.lastRefusal ??= refusal(RefusalReason.WaitTooLong, refusedMs);
    }
    return selection;
}

/** Other hosts report with each answer; this one knows its own backend servers at any time. */
function noteOwnCapacity(context: CallContext, service: Service, targets: ServiceTargets | undefined): void {
    const own = targets?.[Tier.OwnHost][0];
    const report = own === undefined ? undefined : context.admissions.report(service);
    if (own !== undefined && report !== undefined) {
        recordCapacityReport(context.observations.at(service.name, own.host), report, context.now());
    }
}

async function attemptOnce(
    context: CallContext,
    entry: EntryCall,
    selection: Selection,
    attemptId: string,
): Promise<AttemptOutcome> {
    const { call, callId, deadline, startBy, response, control, traceparent } = entry;
    const { arrivedAt, readAt } = entry.stages;
    const stages = { arrivedAt, readAt, startedAt: entry.retries === 0 ? readAt : context.now() };
    entry.stages = stages;
    entry.selection = selection;
    const body = entry.body.open();
    const outcome = await makeAttempt(context, {
        call,
        callId,
        attemptId,
        deadline,
        startBy,
        selection,
        body,
        traceparent,
        control,
        stages,
        onHead(status, raw) {
            entry.status = status;
            const closes = context.board.read("shutdown").requested && isRequestComplete(response);
            const closing = closes ? ["connection", "close"] : [];
            // "Not run" by the backend server holds for this attempt only, not for an earlier lost one.
            const kept = entry.mayHaveRun ? noHeaders : keptHeaders;
            const unknown = entry.mayHaveRun && saysNotRun(raw) ? unknownOutcomeHeader : [];
            response.writeHead(status, [...responseHeaders(raw, kept), ...unknown, ...closing]);
            return createSink(response);
        },
    });
    body.close();
    return outcome;
}

function saysNotRun(raw: readonly string[]): boolean {
    return headerValue(raw, outcomeHeader) === CallOutcome.NotRun;
}

/** Next step after a failed attempt; a retry is only returned when the call may be sent again. */
async function decide(
    context: CallContext,
    entry: EntryCall,
    tried: { outcome: AttemptOutcome; selection: Selection; attemptId: string },
): Promise<NextStep> {
    const { outcome, selection, attemptId } = tried;
    const replayable = entry.body.replayable() && !entry.body.tooLarge();
    const remote = selection.tier !== Tier.OwnHost && !outcome.fateKnown;
    const { repeatable } = entry.call.matched.operation;
    const step = nextStepAfter(outcome.failure as AttemptFailure, { repeatable, replayable, remote });
    if (outcome.failure === AttemptFailure.Refused && isFinalRefusal(outcome.refusal?.reason ?? "")) {
        return NextStep.ReportNotRun;
    }
    if (outcome.failure !== AttemptFailure.Lost || entry.control.reason === callerLeft) {
        return step;
    }
    // An answer of the other daemon would come after this one has closed its connections.
    if (step === NextStep.AskFate && entry.control.reason !== daemonStops) {
        const waitMs = Math.max(
            lateFateWaitMs,
            Math.min(fateWaitMs, remainingMs(entry.deadline, context.now())),
        );
        if (await context.fates.askBarred(selection.target, attemptId, waitMs)) {
            entry.lastRefusal = refusal(RefusalReason.Unreachable);
            return replayable ? NextStep.Retry : NextStep.ReportNotRun;
        }
    }
    entry.mayHaveRun = true;
    return step === NextStep.AskFate ? NextStep.ReportUnknown : step;
}

/** Answers a call that no backend server answered. */
function finish(context: CallContext, entry: EntryCall): CallResult {
    const { dialect } = context;
    if (entry.mayHaveRun) {
        const isLate = isOver(context, entry) || entry.control.reason === deadlinePassed;
        const cause = isLate ? UnknownCause.DeadlinePassed : UnknownCause.Lost;
        respond(entry.response, dialect.unknown(cause));
        return CallResult.Unknown;
    }
    const refused = entry.body.tooLarge()
        ? refusal(RefusalReason.TooLarge)
        : entry.control.cancelled
          ? refusal(RefusalReason.DeadlinePassed)
          : (entry.lastRefusal ?? refusal(RefusalReason.NoTarget));
    entry.lastRefusal = refused;
    respond(entry.response, dialect.notRun(refused));
    return CallResult.NotRun;
}
