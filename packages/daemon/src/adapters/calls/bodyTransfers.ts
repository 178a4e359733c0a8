import {
    admitBody,
    BodyAdmission,
    bodyWaitMs,
    maxReceiveMs,
    refusal,
    RefusalReason,
    releaseBody,
    type Refusal,
    type WaitingBody,
} from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import type { Board } from "../../board.js";
import type { Cancellation } from "./cancellation.js";
import { maxBufferedBodyBytes, maxTotalBufferedBytes } from "./constants.js";

/** Permission to receive a request body before its call gets a slot. */
export interface BodyTransfer {
    /** Longest time for which this transfer keeps its share of the link, in milliseconds. */
    readonly maxTransferMs: number;
    /** Frees the share of the link when the body has arrived or took too long. Its bytes stay buffered. */
    endTransfer(): void;
    /** Ends the transfer and releases the buffered bytes. */
    close(): void;
}

export interface BodyTransfers {
    /** Whether a body of this size can be buffered until its call gets a slot. */
    canBuffer(bytes: number): boolean;
    /** Expected wait of a body of this priority for the link, in milliseconds. */
    waitMs(body: Pick<WaitingBody, "priority">): number;
    /** Buffers a body without scheduling it on the link, because its caller sends it in any case. */
    buffer(bytes: number): BodyTransfer;
    /** Waits until the body may be sent; resolves with a refusal when the queue is full or the call is cancelled. */
    acquire(body: WaitingBody, cancellation: Cancellation): Promise<Either<Refusal, BodyTransfer>>;
    /** Number of calls whose bodies are arriving or queued. */
    count(): number;
}

/** Schedules the transfer of request bodies over the link and updates the `bodyWindow` section. */
export function createBodyTransfers(board: Board): BodyTransfers {
    board.claimValue("bodyWindow");
    const window = board.read("bodyWindow");
    const queuedTransfers = new Map<WaitingBody, () => void>();
    let bufferedBytes = 0;

    function release(body: WaitingBody): void {
        queuedTransfers.delete(body);
        for (const next of releaseBody(window, body)) {
            queuedTransfers.get(next)?.();
            queuedTransfers.delete(next);
        }
    }

    function createTransfer(body: WaitingBody): BodyTransfer {
        let closed = false;
        return {
            maxTransferMs: maxReceiveMs(window, body),
            endTransfer: () => release(body),
            close() {
                if (!closed) {
                    closed = true;
                    bufferedBytes -= body.bytes;
                    release(body);
                }
            },
        };
    }

    const admissionHandlers = {
        [BodyAdmission.Started]: body => Promise.resolve(Right(createTransfer(body))),
        [BodyAdmission.Queued]: (body, cancellation) =>
            new Promise(resolve => {
                const removeFromQueue = () => {
                    createTransfer(body).close();
                    resolve(Left(refusal(RefusalReason.DeadlinePassed)));
                };
                queuedTransfers.set(body, () => {
                    cancellation.offCancel(removeFromQueue);
                    resolve(Right(createTransfer(body)));
                });
                cancellation.onCancel(removeFromQueue);
                if (cancellation.cancelled) {
                    removeFromQueue();
                }
            }),
        [BodyAdmission.Refused](body) {
            bufferedBytes -= body.bytes;
            return Promise.resolve(Left(refusal(RefusalReason.QueueFull, bodyWaitMs(window, body))));
        },
    } satisfies Record<
        BodyAdmission,
        (body: WaitingBody, cancellation: Cancellation) => Promise<Either<Refusal, BodyTransfer>>
    >;

    return {
        canBuffer: bytes => bytes <= maxBufferedBodyBytes && bufferedBytes + bytes <= maxTotalBufferedBytes,
        waitMs: body => bodyWaitMs(window, body),
        buffer(bytes) {
            bufferedBytes += bytes;
            return createTransfer({ bytes, priority: 0 });
        },
        acquire(body, cancellation) {
            bufferedBytes += body.bytes;
            return admissionHandlers[admitBody(window, body)](body, cancellation);
        },
        count: () => window.receiving.size + window.waiting.length,
    };
}
