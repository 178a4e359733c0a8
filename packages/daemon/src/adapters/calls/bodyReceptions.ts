import {
    BodyAdmission,
    bodyWaitMs,
    maxReceiveMs,
    refusal,
    RefusalReason,
    releaseBody,
    admitBody,
    type Refusal,
    type WaitingBody,
} from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import type { Board } from "../../board.js";
import type { Cancellation } from "./cancellation.js";
import { maxBufferedBodyBytes, maxTotalBufferedBytes } from "./constants.js";

/** The right to receive a body before its call gets a slot. */
export interface BodyReception {
    /** Longest time until the next body may come, in milliseconds. */
    readonly turnMs: number;
    /** Lets the next body come, because this one has arrived or its turn took too long. Its bytes are kept. */
    endTurn(): void;
    /** The call is over, and its bytes are gone. */
    close(): void;
}

export interface BodyReceptions {
    /** Whether a body of this size can be kept until its call gets a slot. */
    canKeep(bytes: number): boolean;
    /** Time for which a body of this rank waits for the link, in milliseconds. */
    waitMs(body: Pick<WaitingBody, "priority">): number;
    /** Keeps a body that needs no turn, because its caller sends it in any case. */
    keep(bytes: number): BodyReception;
    /** Waits for the turn of a body, at most until the call is cancelled. */
    acquire(body: WaitingBody, control: Cancellation): Promise<Either<Refusal, BodyReception>>;
    /** Calls whose bodies arrive or wait. */
    count(): number;
}

/** Hands out turns on the link for request bodies and changes the `bodyWindow` section. */
export function createBodyReceptions(board: Board): BodyReceptions {
    board.claimValue("bodyWindow");
    const window = board.read("bodyWindow");
    const turns = new Map<WaitingBody, () => void>();
    let keptBytes = 0;

    function release(body: WaitingBody): void {
        turns.delete(body);
        for (const next of releaseBody(window, body)) {
            turns.get(next)?.();
            turns.delete(next);
        }
    }

    function open(body: WaitingBody): BodyReception {
        let closed = false;
        return {
            turnMs: maxReceiveMs(window, body),
            endTurn: () => release(body),
            close() {
                if (!closed) {
                    closed = true;
                    keptBytes -= body.bytes;
                    release(body);
                }
            },
        };
    }

    const handlers = {
        [BodyAdmission.Started]: body => Promise.resolve(Right(open(body))),
        [BodyAdmission.Queued]: (body, control) =>
            new Promise(resolve => {
                const leave = () => {
                    open(body).close();
                    resolve(Left(refusal(RefusalReason.DeadlinePassed)));
                };
                turns.set(body, () => {
                    control.offCancel(leave);
                    resolve(Right(open(body)));
                });
                control.onCancel(leave);
                if (control.cancelled) {
                    leave();
                }
            }),
        [BodyAdmission.Refused](body) {
            keptBytes -= body.bytes;
            return Promise.resolve(Left(refusal(RefusalReason.QueueFull, bodyWaitMs(window, body))));
        },
    } satisfies Record<
        BodyAdmission,
        (body: WaitingBody, control: Cancellation) => Promise<Either<Refusal, BodyReception>>
    >;

    return {
        canKeep: bytes => bytes <= maxBufferedBodyBytes && keptBytes + bytes <= maxTotalBufferedBytes,
        waitMs: body => bodyWaitMs(window, body),
        keep(bytes) {
            keptBytes += bytes;
            return open({ bytes, priority: 0 });
        },
        acquire(body, control) {
            keptBytes += body.bytes;
            return handlers[admitBody(window, body)](body, control);
        },
        count: () => window.receiving.size + window.waiting.length,
    };
}
