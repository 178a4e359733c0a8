import { isCallerConfirmed, refusal, RefusalReason, type Refusal, type Service } from "@tanagertray/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Left, Right, type Either } from "purify-ts/Either";
import { currentVersion } from "../../controllers/advertisement.js";
import { silenceHeader, silenceHeaderValue } from "./attempt.js";
import { encodeCapacity } from "./capacityHeader.js";
import { eagerBodyBytes, progressIntervalMs } from "./constants.js";
import type { CallContext } from "./context.js";
import { UnknownCause, type DaemonResponse } from "./dialect.js";
import { answerProbe, entryHostHeader, probePath } from "./entryContacts.js";
import { ExchangeEnd, type ExchangeResult } from "./exchange.js";
import { responseHeaders } from "./headers.js";
import { attemptHeader, claimedAttemptId, verifyHop } from "./hopToken.js";
import {
    CallPlace,
    cancelIfDisconnected,
    checkAcceptingCalls,
    checkShutdownTimeLeft,
    earliestArrival,
    openCancellation,
    readHopCall,
    timeLimitsOf,
    type IncomingCall,
} from "./incoming.js";
import { runLocally } from "./localCall.js";
import type { Timer } from "./timers.js";
import { nativeDialect, notRunResponse } from "./nativeDialect.js";
import { encodeHopStages, localDurations, stageLogFields, type StageTimes } from "./stageTimes.js";
import { createRequestBody, type RequestBody } from "./requestBody.js";
import { createSink, isRequestComplete, resetConnection, respond } from "./responses.js";

interface VerifiedHop {
    readonly call: IncomingCall;
    readonly attemptId: string;
    readonly callId: string;
}

/** Turns of the event loop that a check for a disconnected caller takes, until the end of the one in which the call is sent. */
const turnsOfDisconnectCheck = 3;
/** The HTTP library sends a 103 only with a link. It is not passed on. */
const silenceHints = { link: "</>; rel=alternate" };
const passedHeaders: ReadonlySet<string> = new Set(["tanagertray-outcome"]);

/** Handles a call that another daemon forwarded to a backend server of this host. */
export async function handleHop(
    context: CallContext,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    if (request.url === probePath) {
        return answerProbe(context, request, response);
    }
    const arrivedAt = earliestArrival(context, request);
    const checked = checkAcceptingCalls(context, arrivedAt)
        .chain(() => readHopCall(context, request))
        .chain(call => checkShutdownTimeLeft(context, call))
        .chain(call => verifySignature(context, call));
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
        return respond(response, withAttemptId(notRunResponse(refused), attemptId), {
            close: refused.reason === RefusalReason.Draining,
        });
    }
    await runHop(context, { ...checked.unsafeCoerce(), arrivedAt }, request, response);
}

async function runHop(
    context: CallContext,
    { call, attemptId, callId, arrivedAt }: VerifiedHop & { readonly arrivedAt: number },
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const { matched, head } = call;
    const readAt = context.now();
    const stages: StageTimes = { arrivedAt, readAt, startedAt: readAt };
    const { deadline, startBy } = timeLimitsOf(context, call, arrivedAt);
    const place = CallPlace.Hop;
    const cancelScope = openCancellation(context, response, { deadline, place, callId, stages });
    const span = context.telemetry.startSpan("hop", head.daemonHeaders.get("traceparent"));
    const caller = context.entryContacts.noteCall({
        host: head.daemonHeaders.get(entryHostHeader) ?? "",
        seenAt: arrivedAt - (call.pollAgeMs ?? 0),
    });
    const checkMs = turnsOfDisconnectCheck * context.arrivals.lastTurnMs();
    if (isCallerConfirmed(caller, readAt + checkMs)) {
        await cancelIfDisconnected(context, cancelScope.cancellation, { request, arrivedAt });
    }
    const { hasBody, declaredBytes } = head;
    const requestBody = await openRequestBody(context, call, request);
    const body = requestBody.open();
    // The entry daemon sends a body above this size only after it has received the 102 that reports the admission.
    const isBodyHeldBack = hasBody && (declaredBytes ?? Infinity) > eagerBodyBytes;
    let isAdmitted = false;
    const progress = createProgress(context, response);
    const run = cancelScope.cancellation.cancelled ? refuseAbandoned : runLocally;
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
        cancellation: cancelScope.cancellation,
        stages,
        caller,
        onSilence: silenceReporter(head.daemonHeaders, response),
        bodyFollowsAdmission: true,
        onAdmitted() {
            if (isAdmitted) {
                return;
            }
            isAdmitted = true;
            if (isBodyHeldBack) {
                response.writeProcessing();
            }
            progress.start();
            body.commit();
        },
        onHead(status, raw) {
            progress.close();
            const load = String(Math.round(context.admissions.load(matched.service) * 1_000) / 1_000);
            const closesConnection = context.board.read("shutdown").requested && isRequestComplete(response);
            const connectionHeader = closesConnection ? ["connection", "close"] : [];
            response.writeHead(status, [
                ...responseHeaders(raw, passedHeaders),
                ...["tanagertray-load", load, attemptHeader, attemptId, ...encodeHopStages(stages)],
                ...encodeCapacity(context.admissions.report(matched.service)),
                ...connectionHeader,
            ]);
            return createSink(response);
        },
    });
    progress.close();
    body.close();
    cancelScope.close();
    requestBody.drop();
    outcome.caseOf({
        Left: refused => {
            logRefusal(context, { call, attemptId, callId }, refused, stages);
            respond(
                response,
                withAttemptId(refusalWithCapacity(context, matched.service, refused), attemptId),
            );
        },
        Right: ({ end }) => endHandlers[end](response, attemptId),
    });
    const reason = outcome.caseOf<string>({ Left: refused => refused.reason, Right: ({ end }) => end });
    span.end(
        reason !== ExchangeEnd.Completed,
        { service: matched.service.name, operation: matched.operation.name, reason },
        localDurations(stages),
    );
    context.telemetry.event("call.hop", "debug", { service: matched.service.name, reason });
}

async function openRequestBody(
    { arrivals }: CallContext,
    { matched, head }: IncomingCall,
    request: IncomingMessage,
): Promise<RequestBody> {
    const { hasBody, declaredBytes } = head;
    const { maxBodyBytes: maxBytes } = matched.operation;
    const { nextPoll } = arrivals;
    const options = { hasBody, declaredBytes, maxBytes, repeatable: false, nextPoll };
    const requestBody = createRequestBody(request, options);
    if (hasBody) {
        await requestBody.readBuffered();
    }
    return requestBody;
}

/** Repeated 102 responses keep the entry daemon from giving up the hop while the backend server works. */
function createProgress({ timers }: CallContext, response: ServerResponse): { start(): void; close(): void } {
    let timer: Timer | undefined;
    const start = () => {
        timer = timers.after(progressIntervalMs, () => {
            response.writeProcessing();
            start();
        });
    };
    return { start, close: () => timer?.cancel() };
}

/** Returns a function that tells the entry daemon of a silent backend server, if it asked for that. */
function silenceReporter(
    daemonHeaders: ReadonlyMap<string, string>,
    response: ServerResponse,
): (() => void) | undefined {
    return daemonHeaders.get(silenceHeader) === silenceHeaderValue
        ? () => response.writeEarlyHints(silenceHints)
        : undefined;
}

/** Refuses a call whose caller has closed the connection, so that it does not enter the queue. */
function refuseAbandoned(): Promise<Either<Refusal, ExchangeResult>> {
    return Promise.resolve(Left(refusal(RefusalReason.DeadlinePassed)));
}

/** Logs why a call of another daemon did not run on a backend server of this host. */
function logRefusal(
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
        ...stageLogFields(stages),
        calls: report?.calls,
        slots: report?.slots,
        version: currentVersion(board),
    });
}

/** Builds a refusal with the capacity of this host, from which the entry daemon selects the next target. */
function refusalWithCapacity(context: CallContext, service: Service, refused: Refusal): DaemonResponse {
    const answer = notRunResponse(refused);
    const [name, capacity] = encodeCapacity(context.admissions.report(service));
    const capacityHeaders = name === undefined || capacity === undefined ? {} : { [name]: capacity };
    return { ...answer, headers: { ...answer.headers, ...capacityHeaders } };
}

/** Adds the attempt id, by which the entry daemon matches the response to its attempt. */
function withAttemptId(answer: DaemonResponse, attemptId: string | undefined): DaemonResponse {
    return attemptId === undefined
        ? answer
        : { ...answer, headers: { ...answer.headers, [attemptHeader]: attemptId } };
}

const endHandlers = {
    [ExchangeEnd.Completed]: () => undefined,
    [ExchangeEnd.NeverWritten]: (response, attemptId) =>
        respond(response, withAttemptId(notRunResponse(refusal(RefusalReason.Unreachable)), attemptId)),
    [ExchangeEnd.Lost]: (response, attemptId) =>
        respond(response, withAttemptId(nativeDialect.unknown(UnknownCause.Lost), attemptId)),
    [ExchangeEnd.Truncated]: resetConnection,
} satisfies Record<ExchangeEnd, (response: ServerResponse, attemptId: string) => void>;

function verifySignature(context: CallContext, call: IncomingCall): Either<Refusal, VerifiedHop> {
    const daemonHeader = (name: string) => call.head.daemonHeaders.get(`tanagertray-${name}`) ?? "";
    const claims = {
        callId: daemonHeader("call-id"),
        caller: daemonHeader("caller"),
        partner: daemonHeader("partner"),
        service: call.matched.service.name,
        method: call.method,
        path: call.url,
        deadlineMs: daemonHeader("deadline-ms"),
        route: call.route,
    };
    const { keys } = context.board.read("settings");
    const attemptId = verifyHop(daemonHeader("hop"), claims, keys.peer, context.now());
    return attemptId === undefined
        ? Left(refusal(RefusalReason.HopRejected))
        : Right({ call, attemptId, callId: claims.callId });
}
