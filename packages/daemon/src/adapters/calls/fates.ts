import {
    CallFate,
    createFateTable,
    removeExpiredFates,
    markFinished,
    MessageKind,
    resolveFate,
    registerCall,
    type IncomingMessage,
    type Target,
} from "@tanagertray/core";
import type { Board } from "../../board.js";
import { barMs, maxStartDelayMs } from "./constants.js";

/** Period in which expired entries are removed, in milliseconds. */
const expiryPeriodMs = 1_000;

/** Times of a call that is about to start, in milliseconds since the epoch. */
export interface StartTimes {
    readonly deadline: number;
    /** When it was read, or its way to a backend server began. */
    readonly readAt: number;
}

export interface Fates {
    /** Marks an attempt as running; false forbids it. */
    start(attemptId: string, times: StartTimes): boolean;
    finish(attemptId: string): void;
    /** Asks another daemon for a call, and bars it there. True when the call never ran and never will. */
    askBarred(target: Target, attemptId: string, waitMs: number): Promise<boolean>;
    close(): void;
}

/** Knows what became of the calls that other daemons sent here, and asks them about their own. */
export function createFates(board: Board, now: () => number): Fates {
    const outbox = board.claimFeed("callsOutbox");
    const table = createFateTable();
    const waiting = new Map<string, (message: IncomingMessage) => void>();
    let expiredAt = 0;

    function answer({ from, message }: IncomingMessage): void {
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

    function take(incoming: IncomingMessage): void {
        answer(incoming);
        if (incoming.message.kind === MessageKind.Fate) {
            waiting.get(incoming.message.callId)?.(incoming);
        }
    }

    function askBarred(target: Target, attemptId: string, waitMs: number): Promise<boolean> {
        return new Promise(resolve => {
            const end = (barred: boolean) => {
                clearTimeout(timer);
                waiting.delete(attemptId);
                resolve(barred);
            };
            const timer = setTimeout(() => end(false), waitMs);
            waiting.set(attemptId, ({ from, message }) => {
                if (from === target.host && message.kind === MessageKind.Fate) {
                    end(message.fate === CallFate.Barred && message.incarnation === target.incarnation);
                }
            });
            outbox.append({
                to: { host: target.host },
                message: { kind: MessageKind.FateRequest, callId: attemptId },
            });
        });
    }

    const subscriptions = [
        board.follow("peerInbox", take),
        board.observe(["clock"], () => {
            if (now() - expiredAt >= expiryPeriodMs) {
                expiredAt = now();
                removeExpiredFates(table, now());
            }
        }),
    ];
    return {
        // The entry daemon may ask after the deadline, when the call was cancelled at it.
        start: (attemptId, { deadline, readAt }) =>
            now() - readAt < maxStartDelayMs &&
            registerCall(table, attemptId, Math.max(deadline, now()) + barMs, now()),
        finish: attemptId => markFinished(table, attemptId),
        askBarred,
        close: () => subscriptions.forEach(subscription => subscription.close()),
    };
}
