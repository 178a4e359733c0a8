import {
    callerSeenAt,
    isCallerConfirmed,
    refusal,
    RefusalReason,
    remainingMs,
    type BackendServer,
    type CallerContact,
    type MatchedCall,
    type Refusal,
    type WaitingCall,
} from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import type { Slot } from "./admissions.js";
import type { Cancellation } from "./cancellation.js";
import { eagerBodyBytes, maxPutBacks, maxQueueMs } from "./constants.js";
import type { CallContext } from "./context.js";
import { ResponseClass } from "./dialect.js";
import { exchange, ExchangeEnd, type ExchangeResult } from "./exchange.js";
import { headerValue } from "./headers.js";
import { deadlinePassed } from "./incoming.js";
import type { StageTimes } from "./stageTimes.js";
import type { Timer } from "./timers.js";
import { logUnreachable } from "./unreachable.js";
import { DispositionKind, type Disposition, type Rejection, type ResponseSink } from "./disposition.js";
import { logRejection, type RejectionSource } from "./rejections.js";
import { receiveBody } from "./receivedBody.js";
import type { BodyAttempt } from "./requestBody.js";

/** A call to a backend server of this host. */
export interface LocalCall {
    readonly matched: MatchedCall;
    readonly attemptId: string;
    readonly callId: string;
    readonly deadline: number;
    /** Latest time to send the call to a backend server; after it the call is refused. */
    readonly startBy: number;
    readonly method: string;
    readonly path: string;
    readonly headers: readonly string[];
    readonly traceparent: string;
    readonly body: BodyAttempt;
    readonly cancellation: Cancellation;
    readonly stages: StageTimes;
    /**
     * What is known of the caller.
     * @default it is connected to this daemon
     */
    readonly caller?: CallerContact;
    /**
     * Called when the backend server is likely not to answer, for a call that may be sent to another host. The call goes
     * on until its cancellation.
     */
    readonly onSilence?: (() => void) | undefined;
    /** Whether the body comes from another daemon, which sends it after `onAdmitted`. */
    readonly bodyFollowsAdmission: boolean;
    /** Called when the other daemon may send the rest of the body, and when the call is about to be sent to a server. */
    readonly onAdmitted: () => void;
    readonly onHead: (status: number, rawHeaders: string[]) => ResponseSink;
}

/**
 * Admits a call and forwards it to a backend server. A refusal means that the call did not run: it was not sent, or the
 * backend server refused it.
 */
export async function runLocally(
    context: CallContext,
    call: LocalCall,
): Promise<Either<Refusal, ExchangeResult>> {
    const { partner, share, priority, operation, latencyObjectiveMs } = call.matched;
    const waiting = {
        callId: call.attemptId,
        partner,
        share,
        priority,
        operation: operation.name,
        deadline: call.startBy,
        caller: call.caller,
    };
    const objective = context.now() + latencyObjectiveMs;
    const bytes = call.body.pendingBytes;
    if (bytes <= eagerBodyBytes) {
        return runInSlot(context, call, { ...waiting, objective });
    }
    if (!context.bodyTransfers.canBuffer(bytes)) {
        // The body is read only while it is sent. Until then its entry daemon holds it back and may not notice a close.
        const caller = call.caller && { ...call.caller, watchedSince: Infinity };
        return runInSlot(context, call, { ...waiting, caller, objective });
    }
    const received = await receiveBody(context, call, { ...waiting, objective });
    if (received.isLeft()) {
        return Left(received.extract() as Refusal);
    }
    const { transfer, caller } = received.unsafeCoerce();
    // Without the latency objective, the call may wait until its deadline: sending the body again to another host would
    // take longer than waiting here.
    return runInSlot(context, call, { ...waiting, caller }).finally(() => transfer.close());
}

async function runInSlot(
    context: CallContext,
    call: LocalCall,
    waitingCall: WaitingCall,
): Promise<Either<Refusal, ExchangeResult>> {
    const queuedAt = context.now();
    const waiting = { ...waitingCall, deadline: Math.min(waitingCall.deadline, queuedAt + maxQueueMs) };
    for (let putBacks = 0; putBacks <= maxPutBacks; putBacks += 1) {
        const outcome = await tryInSlot(context, call, waiting, queuedAt);
        if (outcome !== undefined) {
            return outcome;
        }
        context.telemetry.event("call.putBack", "debug", { callId: call.callId });
    }
    return Left(refusal(RefusalReason.CallerUnconfirmed));
}

/** Sends the call once it has a slot. Resolves to `undefined` if its caller is not confirmed any more by then. */
async function tryInSlot(
    context: CallContext,
    call: LocalCall,
    waiting: WaitingCall,
    queuedAt: number,
): Promise<Either<Refusal, ExchangeResult> | undefined> {
    const { service } = call.matched;
    const { caller } = waiting;
    const admitted = await context.admissions.acquire(service, waiting, call.cancellation);
    call.stages.queuedMs = context.now() - queuedAt;
    if (admitted.isLeft()) {
        return Left(admitted.extract() as Refusal);
    }
    const slot = admitted.unsafeCoerce();
    const { address, connections } = slot.server;
    let unsentRefusal = refusal(RefusalReason.Unreachable);
    let serverRefusal: Refusal | undefined;
    let isUnconfirmed = false;

    function mayWrite(): boolean {
        const now = context.now();
        if (remainingMs(call.startBy, context.now()) === 0 || call.cancellation.cancelled) {
            unsentRefusal = refusal(RefusalReason.DeadlinePassed);
            return false;
        }
        isUnconfirmed = !isConfirmed(context, caller);
        if (isUnconfirmed) {
            return false;
        }
        if (!context.fates.start(call.attemptId, { deadline: call.deadline, readAt: queuedAt })) {
            unsentRefusal = refusal(RefusalReason.Barred);
            return false;
        }
        call.stages.sentAt = now;
        call.stages.callerSeenMs = Math.round(
            now - (caller === undefined ? context.arrivals.lastPoll() : callerSeenAt(caller)),
        );
        call.onAdmitted();
        silenceTimer = startSilenceTimer(context, call, slot);
        return true;
    }

    const startedAt = context.now();
    const { dialect } = context;
    const headers = requestHeaders(context, call, slot.server.id);
    const id = headerValue(headers, dialect.callIdHeader);
    const { name: operation } = call.matched.operation;
    let silenceTimer: Timer | undefined;
    const result = await exchange({
        id,
        idHeader: dialect.callIdHeader,
        connections: context.pools.get(address, Math.min(service.connections, connections ?? Infinity)),
        method: call.method,
        path: call.path,
        headers,
        body: call.body.payload,
        cancellation: call.cancellation,
        timers: context.timers,
        headIdleTimeoutMs: 0,
        mayWrite,
        onInformationalResponse: () => undefined,
        // A further poll saves work for callers that have left, unless the caller would not be confirmed after it.
        isUpToDate: isTurnShort =>
            isTurnShort ? isConfirmed(context, caller) : wouldBeOutdated(context, caller),
        wouldBeOutdated: () => wouldBeOutdated(context, caller),
        onHead(status, raw) {
            silenceTimer?.cancel();
            call.stages.answeredAt = context.now();
            context.pools.recordResponse(address);
            const elapsedMs = call.stages.answeredAt - (call.stages.sentAt ?? startedAt);
            context.admissions.recordResponse(service, slot.server, { operation, elapsedMs });
            const verdict = dialect.classifyResponse({ status, raw, callId: id });
            return headHandlers[verdict](call, { status, raw, refuse: reason => (serverRefusal = reason) });
        },
    });
    silenceTimer?.cancel();
    context.fates.finish(call.attemptId);
    if (result.rejection !== undefined) {
        const source = { callId: call.callId, id, server: slot.server.id, address };
        logRejectedResponse(context, source, result.rejection);
    }
    replaceDeadPool(context, call, slot, { result, startedAt });
    const neverConnected =
        result.end === ExchangeEnd.NeverWritten &&
        !isUnconfirmed &&
        unsentRefusal.reason === RefusalReason.Unreachable;
    if (isUnconfirmed && !call.cancellation.cancelled) {
        slot.putBack();
        return undefined;
    }
    slot.release({ reachable: call.cancellation.cancelled || !neverConnected });
    if (neverConnected) {
        logUnreachable(context, { callId: call.callId, target: slot.server.id, address }, result);
    }
    if (result.end === ExchangeEnd.NeverWritten) {
        return Left(call.cancellation.cancelled ? refusal(RefusalReason.DeadlinePassed) : unsentRefusal);
    }
    if (serverRefusal !== undefined) {
        logBackendRefusal(context, call, slot, serverRefusal);
        return Left(serverRefusal);
    }
    return Right(result);
}

/** Reports when a call that may be repeated has been without an answer for longer than its work is likely to take. */
function startSilenceTimer(context: CallContext, call: LocalCall, { server }: Slot): Timer | undefined {
    const { onSilence, matched } = call;
    const { service, operation } = matched;
    const remaining = remainingMs(call.deadline, context.now());
    const limitMs =
        onSilence === undefined
            ? undefined
            : context.admissions.silenceLimitMs(service, operation.name, remaining);
    return limitMs === undefined
        ? undefined
        : context.timers.after(limitMs, () => {
              recordUnanswered(context, call, server);
              onSilence?.();
          });
}

/** Whether the backend server had more time than the call is likely to take. Under load, calls start with little time left. */
function hadTimeToAnswer(
    { admissions, now }: CallContext,
    { matched, stages, deadline }: LocalCall,
): boolean {
    const limitMs = admissions.silenceLimitMs(matched.service, matched.operation.name, Infinity);
    // A busy process notices the deadline late.
    const endedAt = Math.min(now(), deadline);
    return limitMs !== undefined && endedAt - (stages.sentAt ?? endedAt) >= limitMs;
}

function recordUnanswered(context: CallContext, call: LocalCall, server: BackendServer): void {
    const now = context.now();
    context.admissions.recordSilence(call.matched.service, server);
    context.telemetry.event("call.unanswered", "info", {
        callId: call.callId,
        server: server.id,
        waitedMs: now - (call.stages.sentAt ?? now),
        leftMs: remainingMs(call.deadline, now),
    });
}

interface ExchangeFacts {
    readonly result: ExchangeResult;
    readonly startedAt: number;
}

/**
 * Replaces the connections to a backend server that answers on none of them. A passed deadline alone may only mean a slow
 * call, so the pool is kept if the server sent a response head on any connection in the meantime.
 */
function replaceDeadPool(
    context: CallContext,
    call: LocalCall,
    { server }: Slot,
    { result, startedAt }: ExchangeFacts,
): void {
    const { address } = server;
    if (
        result.end === ExchangeEnd.Lost &&
        result.error === deadlinePassed &&
        hadTimeToAnswer(context, call)
    ) {
        recordUnanswered(context, call, server);
    }
    const hasResponded = context.pools.hasRespondedSince(address, startedAt);
    if (result.error === deadlinePassed && !hasResponded) {
        context.pools.retire(address);
        context.telemetry.event("call.poolReplaced", "warn", { address });
    }
}

/** Whether the caller is confirmed for some more time. This daemon reads the closes of its own callers itself. */
function isConfirmed({ now }: CallContext, caller: CallerContact | undefined, forMs = 0): boolean {
    return caller === undefined || isCallerConfirmed(caller, now() + forMs);
}

/** Whether the caller is confirmed now, but will not be at the end of a turn as long as the last one. */
function wouldBeOutdated(context: CallContext, caller: CallerContact | undefined): boolean {
    return isConfirmed(context, caller) && !isConfirmed(context, caller, context.arrivals.lastTurnMs());
}

function logBackendRefusal(
    { telemetry }: CallContext,
    { callId }: LocalCall,
    { server }: Slot,
    { reason, retryAfterMs }: Refusal,
): void {
    telemetry.event("call.backendRefused", "info", { callId, server: server.id, reason, retryAfterMs });
}

/** Headers for a backend server: those of the caller and those that the daemon adds. */
function requestHeaders({ dialect, now }: CallContext, call: LocalCall, server: string): string[] {
    const own = dialect.backendHeaders({
        caller: call.matched.caller,
        callId: call.callId,
        deadlineMs: Math.max(1, remainingMs(call.deadline, now())),
        traceparent: call.traceparent,
        server,
    });
    return [...call.headers, ...own];
}

function logRejectedResponse(
    context: CallContext,
    source: Pick<RejectionSource, "callId" | "id" | "server" | "address">,
    rejection: Rejection,
): void {
    const { dialect } = context;
    const { id } = source;
    const saysNotRun: RejectionSource["saysNotRun"] = ({ status, raw }) =>
        dialect.classifyResponse({ status, raw, callId: id }) === ResponseClass.NotRun;
    logRejection(context, { ...source, idHeader: dialect.callIdHeader, saysNotRun }, rejection);
}

interface JudgedHead {
    readonly status: number;
    readonly raw: string[];
    readonly refuse: (refused: Refusal) => void;
}

/** Handlers of a response head by the verdict of the dialect. */
const headHandlers = {
    [ResponseClass.Answer]: (call, { status, raw }) => ({
        kind: DispositionKind.Pass,
        sink: call.onHead(status, raw),
    }),
    [ResponseClass.NotRun]: (_call, { status, refuse }) => {
        const isReplaced = status === misdirectedRequestStatus;
        refuse(refusal(isReplaced ? RefusalReason.BackendReplaced : RefusalReason.BackendRefused));
        return { kind: DispositionKind.Drop };
    },
    [ResponseClass.Foreign]: () => ({ kind: DispositionKind.Reject }),
} satisfies Record<ResponseClass, (call: LocalCall, head: JudgedHead) => Disposition>;

/** 421 Misdirected Request, RFC 9110, section 15.5.20. */
const misdirectedRequestStatus = 421;
