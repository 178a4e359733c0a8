import { refusal, RefusalReason, remainingMs, type MatchedCall, type Refusal } from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import { bodySilenceMs, maxQueueMs } from "./constants.js";
import type { CallContext } from "./context.js";
import { exchange, ExchangeEnd, type ExchangeResult, type ResponseSink } from "./exchange.js";
import type { BodyAttempt } from "./requestBody.js";
import { deadlinePassed } from "./incoming.js";

/** A call to a backend server of this host. */
export interface LocalCall {
    readonly matched: MatchedCall;
    readonly attemptId: string;
    readonly callId: string;
    readonly deadline: number;
    readonly method: string;
    readonly path: string;
    readonly headers: readonly string[];
    readonly traceparent: string;
    readonly body: BodyAttempt;
    readonly control: AbortController;
    /** The call is about to be written to a backend server. */
    readonly onAdmitted: () => void;
    readonly onHead: (status: number, rawHeaders: string[]) => ResponseSink;
}

/** Admits a call and passes it to a backend server. A refusal means that nothing was written. */
export async function runLocally(
    context: CallContext,
    call: LocalCall,
): Promise<Either<Refusal, ExchangeResult>> {
    const { service, partner, share } = call.matched;
    const waitUntil = Math.min(call.deadline, context.now() + maxQueueMs);
    const waiting = { callId: call.attemptId, partner, share, deadline: waitUntil };
    const admitted = await context.admissions.acquire(service, waiting, call.control);
    if (admitted.isLeft()) {
        return Left(admitted.extract() as Refusal);
    }
    const slot = admitted.unsafeCoerce();
    const { address, connections } = slot.server;
    let refused = refusal(RefusalReason.Unreachable);

    function mayWrite(): boolean {
        const leftMs = remainingMs(call.deadline, context.now());
        if (leftMs === 0 || call.control.signal.aborted) {
            refused = refusal(RefusalReason.DeadlinePassed);
            return false;
        }
        if (!context.fates.start(call.attemptId, call.deadline)) {
            refused = refusal(RefusalReason.Barred);
            return false;
        }
        call.onAdmitted();
        return true;
    }

    const startedAt = context.now();
    const result = await exchange({
        dispatcher: context.pools.get(address, Math.min(service.connections, connections ?? Infinity)),
        method: call.method,
        path: call.path,
        headers: [
            ...call.headers,
            ...["tanagertray-caller", call.matched.caller],
            ...["tanagertray-call-id", call.callId],
            ...["tanagertray-deadline-ms", String(Math.max(1, remainingMs(call.deadline, context.now())))],
            ...["traceparent", call.traceparent],
        ],
        body: call.body.chunks,
        signal: call.control.signal,
        headSilenceMs: 0,
        bodySilenceMs,
        mayWrite,
        onInformation: () => undefined,
        onHead(status, raw) {
            context.pools.noteHeard(address);
            return call.onHead(status, raw);
        },
    });
    context.fates.finish(call.attemptId);
    // A passed deadline alone may be a slow call. The other connections are suspect when nothing else
    // was heard from the backend server meanwhile.
    const quiet = result.error === deadlinePassed && !context.pools.heardSince(address, startedAt);
    if (result.silent || quiet) {
        context.pools.retire(address);
        context.telemetry.event("call.poolReplaced", "warn", { address });
    }
    const neverConnected =
        result.end === ExchangeEnd.NeverWritten && refused.reason === RefusalReason.Unreachable;
    slot.release({ reachable: call.control.signal.aborted || !neverConnected });
    if (result.end === ExchangeEnd.NeverWritten) {
        return Left(call.control.signal.aborted ? refusal(RefusalReason.DeadlinePassed) : refused);
    }
    return Right(result);
}
