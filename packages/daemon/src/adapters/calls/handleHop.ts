import { refusal, RefusalReason, type Refusal, type Service } from "@tanagertray/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Left, Right, type Either } from "purify-ts/Either";
import { currentVersion } from "../../controllers/advertisement.js";
import { encodeCapacity } from "./capacityHeader.js";
import { eagerBodyBytes, progressMs } from "./constants.js";
import type { CallContext } from "./context.js";
import { UnknownCause, type DaemonResponse } from "./dialect.js";
import { ExchangeEnd, type ExchangeResult } from "./exchange.js";
import { responseHeaders } from "./headers.js";
import { attemptHeader, claimedAttemptId, verifyHop } from "./hopToken.js";
import {
    cancelIfLeft,
    checkAdmitting,
    checkTimeLeft,
    earliestArrival,
    openCancel,
    readHopCall,
    timesOf,
    type IncomingCall,
} from "./incoming.js";
import { runLocally } from "./localCall.js";
import type { Timer } from "./timers.js";
import { nativeDialect, notRunResponse } from "./nativeDialect.js";
import { encodeTook, localStages, stageFields, type StageTimes } from "./stageTimes.js";
import { createRequestBody } from "./requestBody.js";
import { createSink, isRequestComplete, resetConnection, respond } from "./responses.js";

interface VerifiedHop {
    readonly call: IncomingCall;
    readonly attemptId: string;
    readonly callId: string;
}

const keptHeaders: ReadonlySet<string> = new Set(["tanagertray-outcome"]);

/** Carries a call that came from another daemon to a backend server of this host. */
export async function handleHop(
    context: CallContext,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const arrivedAt = earliestArrival(context, request);
    const checked = checkAdmitting(context, arrivedAt)
        .chain(() => readHopCall(context, request))
        .chain(call => checkTimeLeft(context, call))
        .chain(call => verify(context, call));
    if (checked.isLeft()) {
        const refused = checked.extract() as Refusal;
        context.telemetry.event("call.hopRefused", "info", {
            callId: String(request.headers["tanagertray-call-id"] ?? ""),
            caller: String(request.headers["tanagertray-caller"] ?? ""),
            reason: refused.reason,
            readAfterMs: Math.round(context.now() - arrivedAt),
            readiness: context.board.read("readiness").state,
            version: currentVersion(context.board),
        });
        const attemptId = claimedAttemptId(String(request.headers["tanagertray-hop"]));
        return respond(response, named(notRunResponse(refused), attemptId), {
            close: refused.reason === RefusalReason.Draining,
        });
    }
    await carry(context, { ...checked.unsafeCoerce(), arrivedAt }, request, response);
}

async function carry(
    context: CallContext,
    { call, attemptId, callId, arrivedAt }: VerifiedHop & { readonly arrivedAt: number },
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const { matched, head } = call;
    const readAt = context.now();
    const stages: StageTimes = { arrivedAt, readAt, startedAt: readAt };
    const { deadline, startBy } = timesOf(context, call, arrivedAt);
    const cancel = openCancel(context, response, deadline);
    const span = context.telemetry.startSpan("hop", head.daemonHeaders.get("traceparent"));
    const checkedCaller = cancelIfLeft(context, cancel.control, { request, arrivedAt });
    if (checkedCaller !== undefined) {
        await checkedCaller;
    }
    const maxBytes = matched.operation.maxBodyBytes;
    const { hasBody, declaredBytes } = head;
    const requestBody = createRequestBody(request, { hasBody, declaredBytes, maxBytes, repeatable: false });
    if (hasBody) {
        await requestBody.readBuffered();
    }
    const body = requestBody.open();
    // The entry daemon sends a longer body only once it knows that the call was admitted.
    const waitsForAdmission = hasBody && (declaredBytes ?? Infinity) > eagerBodyBytes;
    let isAdmitted = false;
    let progress: Timer | undefined;
    const showProgress = () => {
        progress = context.timers.after(progressMs, () => {
            response.writeProcessing();
            showProgress();
        });
    };
    const run = cancel.control.cancelled ? refuseLeft : runLocally;
    const outcome = await run(context, {
        matched,
        attemptId,
        callId,
        deadline,
        startBy,
        method: call.method,
        path: call.backendPath,
        headers: head.headers,
        traceparent: span.traceparent,
        body,
        control: cancel.control,
        stages,
        awaitsBody: true,
        onAdmitted() {
            if (isAdmitted) {
                return;
            }
            isAdmitted = true;
            if (waitsForAdmission) {
                response.writeProcessing();
            }
            // Shows the entry daemon that the connection is not silent while the backend server works.
            showProgress();
            body.commit();
        },
        onHead(status, raw) {
            progress?.cancel();
            const load = String(Math.round(context.admissions.load(matched.service) * 1_000) / 1_000);
            const closes = context.board.read("shutdown").requested && isRequestComplete(response);
            const closing = closes ? ["connection", "close"] : [];
            response.writeHead(status, [
                ...responseHeaders(raw, keptHeaders),
                ...["tanagertray-load", load, attemptHeader, attemptId, ...encodeTook(stages)],
                ...encodeCapacity(context.admissions.report(matched.service)),
                ...closing,
            ]);
            return createSink(response);
        },
    });
    progress?.cancel();
    body.close();
    cancel.close();
    requestBody.drop();
    outcome.caseOf({
        Left: refused => {
            noteRefused(context, { call, attemptId, callId }, refused, stages);
            respond(response, named(refusalOf(context, matched.service, refused), attemptId));
        },
        Right: ({ end }) => answerByEnd[end](response, attemptId),
    });
    const reason = outcome.caseOf<string>({ Left: refused => refused.reason, Right: ({ end }) => end });
    span.end(
        reason !== ExchangeEnd.Completed,
        { service: matched.service.name, operation: matched.operation.name, reason },
        localStages(stages),
    );
    context.telemetry.event("call.hop", "debug", { service: matched.service.name, reason });
}

/** A call whose caller has left takes no place in the queue. */
function refuseLeft(): Promise<Either<Refusal, ExchangeResult>> {
    return Promise.resolve(Left(refusal(RefusalReason.DeadlinePassed)));
}

/** Says why a call of another daemon got no backend server of this host. */
function noteRefused(
    { admissions, board, telemetry }: CallContext,
    { call, attemptId, callId }: VerifiedHop,
    { reason, retryAfterMs }: Refusal,
    stages: StageTimes,
): void {
    const { service, caller, operation } = call.matched;
    const report = admissions.report(service);
    telemetry.event("call.hopRefused", "info", {
        callId,
        attemptId,
        caller,
        service: service.name,
        route: operation.name,
        reason,
        retryAfterMs,
        startWithinMs: call.startWithinMs,
        ...stageFields(stages),
        calls: report?.calls,
        slots: report?.slots,
        version: currentVersion(board),
    });
}

/** Refuses a call with what the next choice of the entry daemon needs to know of this host. */
function refusalOf(context: CallContext, service: Service, refused: Refusal): DaemonResponse {
    const answer = notRunResponse(refused);
    const [name, capacity] = encodeCapacity(context.admissions.report(service));
    const known = name === undefined || capacity === undefined ? {} : { [name]: capacity };
    return { ...answer, headers: { ...answer.headers, ...known } };
}

/** Says to which attempt an answer belongs. */
function named(answer: DaemonResponse, attemptId: string | undefined): DaemonResponse {
    return attemptId === undefined
        ? answer
        : { ...answer, headers: { ...answer.headers, [attemptHeader]: attemptId } };
}

const answerByEnd = {
    [ExchangeEnd.Completed]: () => undefined,
    [ExchangeEnd.NeverWritten]: (response, attemptId) =>
        respond(response, named(notRunResponse(refusal(RefusalReason.Unreachable)), attemptId)),
    [ExchangeEnd.Lost]: (response, attemptId) =>
        respond(response, named(nativeDialect.unknown(UnknownCause.Lost), attemptId)),
    [ExchangeEnd.Truncated]: resetConnection,
} satisfies Record<ExchangeEnd, (response: ServerResponse, attemptId: string) => void>;

function verify(context: CallContext, call: IncomingCall): Either<Refusal, VerifiedHop> {
    const own = (name: string) => call.head.daemonHeaders.get(`tanagertray-${name}`) ?? "";
    const claims = {
        callId: own("call-id"),
        caller: own("caller"),
        partner: own("partner"),
        service: call.matched.service.name,
        method: call.method,
        path: call.url,
        deadlineMs: own("deadline-ms"),
        route: call.route,
    };
    const { keys } = context.board.read("settings");
    const attemptId = verifyHop(own("hop"), claims, keys.peer, context.now());
    return attemptId === undefined
        ? Left(refusal(RefusalReason.HopRejected))
        : Right({ call, attemptId, callId: claims.callId });
}
