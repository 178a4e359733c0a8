import {
    refusal,
    RefusalReason,
    remainingMs,
    type MatchedCall,
    type Refusal,
    type WaitingCall,
} from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import type { BodyReception } from "./bodyReceptions.js";
import type { Cancellation } from "./cancellation.js";
import { bodySilenceMs, eagerBodyBytes, maxQueueMs } from "./constants.js";
import type { CallContext } from "./context.js";
import { ResponseClass } from "./dialect.js";
import { exchange, ExchangeEnd, type ExchangeResult } from "./exchange.js";
import { headerValue } from "./headers.js";
import { deadlinePassed } from "./incoming.js";
import type { StageTimes } from "./stageTimes.js";
import { noteUnreachable } from "./unreachable.js";
import { DispositionKind, type Disposition, type Rejection, type ResponseSink } from "./disposition.js";
import { noteRejection, type RejectionSource } from "./rejections.js";
import type { BodyAttempt } from "./requestBody.js";

/** A call to a backend server of this host. */
export interface LocalCall {
    readonly matched: MatchedCall;
    readonly attemptId: string;
    readonly callId: string;
    readonly deadline: number;
    /** The call is not written from then, or is refused before. */
    readonly startBy: number;
    readonly method: string;
    readonly path: string;
    readonly headers: readonly string[];
    readonly traceparent: string;
    readonly body: BodyAttempt;
    readonly control: Cancellation;
    readonly stages: StageTimes;
    /** Whether its body comes from another daemon, which sends it once it hears of `onAdmitted`. */
    readonly awaitsBody: boolean;
    /**
     * The rest of the body may come from the other daemon, or the call is about to be written to a backend server. Called for
     * each of the two.
     */
    readonly onAdmitted: () => void;
    readonly onHead: (status: number, rawHeaders: string[]) => ResponseSink;
}

/** Admits a call and passes it to a backend server. A refusal means that nothing was written. */
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
    };
    const objective = context.now() + latencyObjectiveMs;
    const bytes = call.body.pendingBytes;
    if (bytes <= eagerBodyBytes || !context.bodies.canKeep(bytes)) {
        return runInSlot(context, call, { ...waiting, objective });
    }
    const received = await receiveBody(context, call, { ...waiting, objective });
    if (received.isLeft()) {
        return Left(received.extract() as Refusal);
    }
    // To send the body anew to another host would take longer than the wait here, so it may wait up to the deadline.
    return runInSlot(context, call, waiting).finally(() => received.unsafeCoerce().close());
}

/** Receives the body of a call before the call takes a slot, which would stand idle until the body has arrived. */
async function receiveBody(
    context: CallContext,
    call: LocalCall,
    waiting: WaitingCall,
): Promise<Either<Refusal, BodyReception>> {
    const { service, priority } = call.matched;
    const body = { bytes: call.body.pendingBytes, priority };
    const bodyMs = call.awaitsBody ? context.bodies.waitMs(body) : 0;
    const refused = context.admissions.refusalBeforeBody(service, waiting, bodyMs);
    if (refused !== undefined) {
        return Left(refused);
    }
    const startedAt = context.now();
    const turn = call.awaitsBody
        ? await context.bodies.acquire(body, call.control)
        : Right(context.bodies.keep(body.bytes));
    if (turn.isLeft()) {
        return turn;
    }
    const reception = turn.unsafeCoerce();
    const turnEnd = context.timers.after(reception.turnMs, () => reception.endTurn());
    if (call.awaitsBody) {
        call.onAdmitted();
    }
    await call.body.receiveAll(call.control);
    turnEnd.cancel();
    reception.endTurn();
    call.stages.bodyMs = context.now() - startedAt;
    if (call.control.cancelled) {
        reception.close();
        return Left(refusal(RefusalReason.DeadlinePassed));
    }
    return turn;
}

async function runInSlot(
    context: CallContext,
    call: LocalCall,
    waitingCall: WaitingCall,
): Promise<Either<Refusal, ExchangeResult>> {
    const { service } = call.matched;
    const waiting = {
        ...waitingCall,
        deadline: Math.min(waitingCall.deadline, context.now() + maxQueueMs),
    };
    const queuedAt = context.now();
    const admitted = await context.admissions.acquire(service, waiting, call.control);
    call.stages.queuedMs = context.now() - queuedAt;
    if (admitted.isLeft()) {
        return Left(admitted.extract() as Refusal);
    }
    const slot = admitted.unsafeCoerce();
    const { address, connections } = slot.server;
    let refused = refusal(RefusalReason.Unreachable);
    let refusedByServer: Refusal | undefined;

    function mayWrite(): boolean {
        if (remainingMs(call.startBy, context.now()) === 0 || call.control.cancelled) {
            refused = refusal(RefusalReason.DeadlinePassed);
            return false;
        }
        if (!context.fates.start(call.attemptId, { deadline: call.deadline, readAt: queuedAt })) {
            refused = refusal(RefusalReason.Barred);
            return false;
        }
        call.stages.sentAt = context.now();
        call.onAdmitted();
        return true;
    }

    const startedAt = context.now();
    const { dialect } = context;
    const headers = headersFor(context, call, slot.server.id);
    const id = headerValue(headers, dialect.callIdHeader);
    const result = await exchange({
        id,
        idHeader: dialect.callIdHeader,
        connections: context.pools.get(address, Math.min(service.connections, connections ?? Infinity)),
        method: call.method,
        path: call.path,
        headers,
        body: call.body.payload,
        cancellation: call.control,
        timers: context.timers,
        headIdleTimeoutMs: 0,
        bodyIdleTimeoutMs: bodySilenceMs,
        mayWrite,
        onInformationalResponse: () => undefined,
        onHead(status, raw) {
            call.stages.answeredAt = context.now();
            context.pools.recordResponse(address);
            const verdict = dialect.classifyResponse({ status, raw, callId: id });
            return takeHead[verdict](call, { status, raw, refuse: reason => (refusedByServer = reason) });
        },
    });
    context.fates.finish(call.attemptId);
    if (result.rejection !== undefined) {
        const source = { callId: call.callId, id, server: slot.server.id, address };
        noteRejectedServer(context, source, result.rejection);
    }
    // A passed deadline alone may be a slow call. The other connections are suspect when nothing else
    // was heard from the backend server meanwhile.
    const quiet = result.error === deadlinePassed && !context.pools.hasRespondedSince(address, startedAt);
    if (result.silent || quiet) {
        context.pools.retire(address);
        context.telemetry.event("call.poolReplaced", "warn", { address });
    }
    const neverConnected =
        result.end === ExchangeEnd.NeverWritten && refused.reason === RefusalReason.Unreachable;
    slot.release({ reachable: call.control.cancelled || !neverConnected });
    if (neverConnected) {
        noteUnreachable(context, { callId: call.callId, target: slot.server.id, address }, result);
    }
    if (result.end === ExchangeEnd.NeverWritten) {
        return Left(call.control.cancelled ? refusal(RefusalReason.DeadlinePassed) : refused);
    }
    if (refusedByServer !== undefined) {
        const { reason, retryAfterMs } = refusedByServer;
        context.telemetry.event("call.backendRefused", "info", {
            callId: call.callId,
            server: slot.server.id,
            reason,
            retryAfterMs,
        });
        return Left(refusedByServer);
    }
    return Right(result);
}

/** What a call to a backend server says: the caller's own headers, and those of the daemon. */
function headersFor({ dialect, now }: CallContext, call: LocalCall, server: string): string[] {
    const own = dialect.backendHeaders({
        caller: call.matched.caller,
        callId: call.callId,
        deadlineMs: Math.max(1, remainingMs(call.deadline, now())),
        traceparent: call.traceparent,
        server,
    });
    return [...call.headers, ...own];
}

function noteRejectedServer(
    context: CallContext,
    source: Pick<RejectionSource, "callId" | "id" | "server" | "address">,
    rejection: Rejection,
): void {
    const { dialect } = context;
    const { id } = source;
    const saysNotRun: RejectionSource["saysNotRun"] = ({ status, raw }) =>
        dialect.classifyResponse({ status, raw, callId: id }) === ResponseClass.NotRun;
    noteRejection(context, { ...source, idHeader: dialect.callIdHeader, saysNotRun }, rejection);
}

interface JudgedHead {
    readonly status: number;
    readonly raw: string[];
    readonly refuse: (refused: Refusal) => void;
}

/** What happens with a response head, by what the dialect says of it. */
const takeHead = {
    [ResponseClass.Answer]: (call, { status, raw }) => ({
        kind: DispositionKind.Pass,
        sink: call.onHead(status, raw),
    }),
    [ResponseClass.NotRun]: (_call, { status, refuse }) => {
        const isReplaced = status === misdirectedStatus;
        refuse(refusal(isReplaced ? RefusalReason.BackendReplaced : RefusalReason.BackendRefused));
        return { kind: DispositionKind.Drop };
    },
    [ResponseClass.Foreign]: () => ({ kind: DispositionKind.Reject }),
} satisfies Record<ResponseClass, (call: LocalCall, head: JudgedHead) => Disposition>;

/** RFC 9110, section 15.5.20. */
const misdirectedStatus = 421;
