import {
    deadlineAt,
    longestPauseMs,
    matchCall,
    parseDeadlineMs,
    ReadinessState,
    refusal,
    RefusalReason,
    type MatchedCall,
    type Refusal,
} from "@tanagertray/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Left, Right, type Either } from "purify-ts/Either";
import type { Board } from "../../board.js";
import { maxCallsInProgress, stallMs } from "./constants.js";
import type { CallContext } from "./context.js";
import { readRequestHead, type RequestHead } from "./headers.js";

/** A request whose head was checked and matched with the configuration. */
export interface IncomingCall {
    readonly head: RequestHead;
    readonly method: string;
    /** Request target as received, `/<service>/<path>`. */
    readonly url: string;
    /** Request target for the backend server. */
    readonly backendPath: string;
    readonly matched: MatchedCall;
    readonly callId: string | undefined;
    readonly askedDeadlineMs: number | undefined;
}

/** Instant at which a call ends, counted from its arrival. */
export function deadlineOf(context: CallContext, { matched, askedDeadlineMs }: IncomingCall): number {
    return deadlineAt(earliestArrival(context), matched.operation.deadlineMs, askedDeadlineMs);
}

const callIdPattern = /^[A-Za-z0-9._:-]{1,128}$/;
const urlPattern = /^\/([A-Za-z0-9][A-Za-z0-9._-]*)(\/[!-~]*)?$/;

/**
 * Earliest instant at which a request that is read now can have arrived. After a pause of the process,
 * requests that waited in the socket buffers are read late, and their deadline has run meanwhile.
 */
export function earliestArrival({ board, now }: CallContext): number {
    const { now: tickedAt, pausedForMs } = board.read("clock");
    const readAt = now();
    const lastTurn = pausedForMs > stallMs ? tickedAt - pausedForMs : tickedAt;
    return readAt - lastTurn > stallMs ? lastTurn : readAt;
}

/** Whether this host takes new calls. */
export function checkAdmitting(context: CallContext): Either<Refusal, true> {
    const { board, cancels } = context;
    if (context.now() - earliestArrival(context) > longestPauseMs) {
        // The pause is seen here before the tick of the clock that fences the host.
        return Left(refusal(RefusalReason.NotReady));
    }
    if (cancels.size >= maxCallsInProgress) {
        return Left(refusal(RefusalReason.QueueFull));
    }
    const { state } = board.read("readiness");
    if (board.read("shutdown").requested || state === ReadinessState.Draining) {
        return Left(refusal(RefusalReason.Draining));
    }
    return state === ReadinessState.Ready ? Right(true) : Left(refusal(RefusalReason.NotReady));
}

export function readCall(board: Board, request: IncomingMessage): Either<Refusal, IncomingCall> {
    return readRequestHead(request.rawHeaders).chain(head => {
        const url = request.url ?? "";
        const method = request.method ?? "";
        const [, service = "", backendPath = "/"] = urlPattern.exec(url) ?? [];
        const callId = head.own.get("tanagertray-call-id");
        const asked = head.own.get("tanagertray-deadline-ms");
        const askedDeadlineMs = asked === undefined ? undefined : parseDeadlineMs(asked);
        const path = backendPath.split("?", 1)[0] as string;
        if (
            service === "" ||
            !isPlainPath(path) ||
            (callId !== undefined && !callIdPattern.test(callId)) ||
            (asked !== undefined && askedDeadlineMs === undefined)
        ) {
            return Left(refusal(RefusalReason.Malformed));
        }
        const caller = head.own.get("tanagertray-caller") ?? "";
        const resources = board.read("configuration").held?.resources ?? new Map();
        return matchCall(resources, { service, method, path, caller }).chain(matched =>
            (head.declaredBytes ?? 0) > matched.operation.maxBodyBytes
                ? Left(refusal(RefusalReason.TooLarge))
                : Right({ head, method, url, backendPath, matched, callId, askedDeadlineMs }),
        );
    });
}

/** Dot segments and backslashes could mean another path to a backend server than to the route. */
function isPlainPath(path: string): boolean {
    return path
        .split("/")
        .every(segment => !/[\\#]|%(?:00|5c)/i.test(segment) && !/^(?:\.|%2e){1,2}(?:;|$)/i.test(segment));
}

export const callerLeft = new Error("the caller left");
export const deadlinePassed = new Error("the deadline passed");

/** Cancels a call when its caller leaves, its deadline passes or the daemon stops waiting for it. */
export function openCancel(
    context: CallContext,
    response: ServerResponse,
    deadline: number,
): { readonly control: AbortController; close(): void } {
    const control = new AbortController();
    const timer = setTimeout(() => control.abort(deadlinePassed), Math.max(0, deadline - context.now()));
    const leave = () => control.abort(callerLeft);
    response.once("close", leave);
    context.cancels.add(control);
    return {
        control,
        close() {
            clearTimeout(timer);
            response.off("close", leave);
            context.cancels.delete(control);
        },
    };
}
