import {
    refusal,
    RefusalReason,
    type CallerContact,
    type Refusal,
    type WaitingCall,
} from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import type { BodyTransfer } from "./bodyTransfers.js";
import type { CallContext } from "./context.js";
import type { LocalCall } from "./localCall.js";

/** A request body that was received before its call takes a slot. */
export interface ReceivedBody {
    readonly transfer: BodyTransfer;
    /** What is known of the caller now that its whole body has been read. */
    readonly caller: CallerContact | undefined;
}

/** Receives the body of a call before the call takes a slot, so that no slot is idle while the body arrives. */
export async function receiveBody(
    context: CallContext,
    call: LocalCall,
    waiting: WaitingCall,
): Promise<Either<Refusal, ReceivedBody>> {
    const { service, priority } = call.matched;
    const body = { bytes: call.body.pendingBytes, priority };
    const bodyMs = call.bodyFollowsAdmission ? context.bodyTransfers.waitMs(body) : 0;
    const refused = context.admissions.refusalBeforeBody(service, waiting, bodyMs);
    if (refused !== undefined) {
        return Left(refused);
    }
    const startedAt = context.now();
    const admitted = call.bodyFollowsAdmission
        ? await context.bodyTransfers.acquire(body, call.cancellation)
        : Right(context.bodyTransfers.buffer(body.bytes));
    if (admitted.isLeft()) {
        return Left(admitted.extract() as Refusal);
    }
    const transfer = admitted.unsafeCoerce();
    const askedAt = context.now();
    const transferTimer = context.timers.after(transfer.maxTransferMs, () => transfer.endTransfer());
    if (call.bodyFollowsAdmission) {
        call.onAdmitted();
    }
    await call.body.receiveAll(call.cancellation);
    transferTimer.cancel();
    transfer.endTransfer();
    const receivedAt = context.now();
    call.stages.bodyMs = receivedAt - startedAt;
    if (!call.bodyFollowsAdmission) {
        // The close of the caller's connection becomes visible only at the poll after the one that read the whole body.
        await context.arrivals.nextPoll();
    }
    if (call.cancellation.cancelled) {
        transfer.close();
        return Left(refusal(RefusalReason.DeadlinePassed));
    }
    const { caller } = call;
    // The entry daemon sends the end of the body after it was asked for it and has polled its caller's connection again.
    return Right({
        transfer,
        caller: caller && { entry: caller.entry, seenAt: askedAt, watchedSince: receivedAt },
    });
}
