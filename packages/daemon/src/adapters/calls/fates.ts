import {
    CallFate,
    createFateTable,
    markFinished,
    MessageKind,
    registerCall,
    removeExpiredFates,
    resolveFate,
    type IncomingMessage,
    type Target,
} from "@tanagertray/core";
import type { Board } from "../../board.js";
import { barMs, maxStartDelayMs } from "./constants.js";

/** Period in which expired entries are removed, in milliseconds. */
const expiryPeriodMs = 1_000;

/** Times of a call before its start, in milliseconds since the epoch. */
export interface StartTimes {
    readonly deadline: number;
    /** When the call was read, or began to wait for a slot. */
    readonly readAt: number;
}

export interface Fates {
    /** Marks an attempt as running. Returns false when it must not start. */
    start(attemptId: string, times: StartTimes): boolean;
    finish(attemptId: string): void;
    /**
     * Asks another daemon for the fate of an attempt, which bars it there if it has not started. Resolves to true when the
     * attempt never ran and never will.
     */
    requestBar(target: Target, attemptId: string, waitMs: number): Promise<boolean>;
    close(): void;
}

/** Records the fates of calls on this host, answers the fate requests of other daemons and sends requests to them. */
export function createFates(board: Board, now: () => number): Fates {
    const outbox = board.claimFeed("callsOutbox");
    const table = createFateTable();
    const pendingRequests = new Map<string, (message: IncomingMessage) => void>();
    let lastExpiryAt = 0;

    function answerFateRequest({ from, message }: IncomingMessage): void {
        if (message.kind !== MessageKind.FateRequest) {
            return;
        }
        const { callId } = message;
        const fate = resolveFate(table, callId, now() + barMs, now());
        const { incarnation } = board.read("membership").self;
        outbox.append({
            to: { host: from },
            message: { kind: MessageKind.Fate, callId, fate, incarnation },
        });
    }

    function receive(incoming: IncomingMessage): void {
        answerFateRequest(incoming);
        if (incoming.message.kind === MessageKind.Fate) {
            pendingRequests.get(incoming.message.callId)?.(incoming);
        }
    }

    function requestBar(target: Target, attemptId: string, waitMs: number): Promise<boolean> {
        return new Promise(resolve => {
            const settle = (barred: boolean) => {
                clearTimeout(timer);
                pendingRequests.delete(attemptId);
                resolve(barred);
            };
            const timer = setTimeout(() => settle(false), waitMs);
            pendingRequests.set(attemptId, ({ from, message }) => {
                if (from === target.host && message.kind === MessageKind.Fate) {
                    settle(message.fate === CallFate.Barred && message.incarnation === target.incarnation);
                }
            });
            outbox.append({
                to: { host: target.host },
                message: { kind: MessageKind.FateRequest, callId: attemptId },
            });
        });
    }

    const subscriptions = [
        board.follow("peerInbox", receive),
        board.observe(["clock"], () => {
            if (now() - lastExpiryAt >= expiryPeriodMs) {
                lastExpiryAt = now();
                removeExpiredFates(table, now());
            }
        }),
    ];
    return {
        // The entry daemon may ask for the fate after the deadline, if the call was cancelled at the deadline.
        start: (attemptId, { deadline, readAt }) =>
            now() - readAt < maxStartDelayMs &&
            registerCall(table, attemptId, Math.max(deadline, now()) + barMs, now()),
        finish: attemptId => markFinished(table, attemptId),
        requestBar,
        close: () => subscriptions.forEach(subscription => subscription.close()),
    };
}
