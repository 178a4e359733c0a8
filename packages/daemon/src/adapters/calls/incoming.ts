import {
    deadlineAt,
    longestPauseMs,
    parseDeadlineMs,
    ReadinessState,
    refusal,
    RefusalReason,
    refusalIfReadLate,
    type MatchedCall,
    type Refusal,
} from "@tanagertray/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Left, Right, type Either } from "purify-ts/Either";
import type { Board } from "../../board.js";
import { tickMs } from "../clock.js";
import type { Arrivals } from "./arrivals.js";
import { createCancellation, type Cancellation } from "./cancellation.js";
import { maxCallsInProgress, stallMs } from "./constants.js";
import type { CallContext } from "./context.js";
import type { DialectMatch } from "./dialect.js";
import { readRequestHead, type RequestHead } from "./headers.js";
import { decodeRoute, encodeRoute, routeHeader } from "./hopRoute.js";
import { matchNative, nativeDialect } from "./nativeDialect.js";
import { onceConnectionCloses } from "./waitingResponses.js";

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
    /** Time in which the entry daemon itself would still have sent the call on, in milliseconds. */
    readonly startWithinMs?: number | undefined;
    /** Value of the route header, when the host of the backend server has to be told the route. */
    readonly route: string | undefined;
}

/** Until when a call may go on, in milliseconds since the epoch. */
export interface CallTimes {
    /** Its work is cancelled then. Counted from when it was read, so that a busy daemon does not cut it short. */
    readonly deadline: number;
    /** Nothing is sent on from then, because its caller may have left. Counted from its earliest arrival. */
    readonly startBy: number;
}

export function timesOf(
    context: Pick<CallContext, "board" | "now">,
    {
        matched,
        askedDeadlineMs,
        startWithinMs = Infinity,
    }: Pick<IncomingCall, "matched" | "askedDeadlineMs" | "startWithinMs">,
    arrivedAt: number,
): CallTimes {
    const { deadlineMs } = matched.operation;
    return {
        deadline: deadlineAt(
            Math.min(context.now(), lastTickBeforePause(context)),
            deadlineMs,
            askedDeadlineMs,
        ),
        startBy: Math.min(deadlineAt(arrivedAt, deadlineMs, askedDeadlineMs), arrivedAt + startWithinMs),
    };
}

/**
 * Header by which an entry daemon tells how long it would still have sent a call on. It is not part of the HMAC, since it
 * can only shorten the deadline, which is.
 */
export const startHeader = "tanagertray-start-ms";
const callIdPattern = /^[A-Za-z0-9._:-]{1,128}$/;

/**
 * Earliest instant at which a request that is read now can have arrived. While the process is busy, and after a pause of
 * it, requests wait in the socket buffers, and their deadline runs meanwhile.
 */
export function earliestArrival(
    context: Pick<CallContext, "board" | "now"> & { readonly arrivals: Pick<Arrivals, "earliest"> },
    { socket }: Pick<IncomingMessage, "socket">,
): number {
    const { arrivals, board, now } = context;
    // A process whose share of the processor is used up may stand still while it seems to wait for events; its timers
    // are late by as much, the last one and the one that is due.
    const { now: tickedAt, pausedForMs } = board.read("clock");
    const lateAt = now() - Math.max(pausedForMs, now() - tickedAt - tickMs);
    return Math.min(lastTickBeforePause(context), arrivals.earliest(socket), lateAt);
}

/** Last tick of the clock before a pause of the process, or infinity when it was not paused. */
function lastTickBeforePause({ board, now }: Pick<CallContext, "board" | "now">): number {
    const { now: tickedAt, pausedForMs } = board.read("clock");
    const lastTick = pausedForMs > stallMs ? tickedAt - pausedForMs : tickedAt;
    return now() - lastTick > stallMs ? lastTick : Infinity;
}

/** Whether this host takes new calls. */
export function checkAdmitting(context: CallContext, arrivedAt: number): Either<Refusal, true> {
    const { board, cancels } = context;
    if (context.now() - arrivedAt > longestPauseMs) {
        // The pause is seen here before the tick of the clock that fences the host.
        return Left(refusal(RefusalReason.NotReady));
    }
    if (cancels.size >= maxCallsInProgress) {
        return Left(refusal(RefusalReason.QueueFull));
    }
    const { state } = board.read("readiness");
    const { requested, acceptsCallsUntil } = board.read("shutdown");
    if (requested || state === ReadinessState.Draining) {
        // Callers learn of the shutdown with a delay, and what they send until then is still served.
        const lingers = context.now() < acceptsCallsUntil && board.read("configuration").held !== undefined;
        return lingers ? Right(true) : Left(refusal(RefusalReason.Draining));
    }
    return state === ReadinessState.Ready ? Right(true) : Left(refusal(RefusalReason.NotReady));
}

/**
 * Whether a call that comes during a shutdown can still be served. What its objective does not leave time for would be
 * cut at the end of the grace, and a caller cannot repeat every call then.
 */
export function checkTimeLeft(
    { board, now }: CallContext,
    call: IncomingCall,
): Either<Refusal, IncomingCall> {
    const { requested, abortsCallsAt } = board.read("shutdown");
    return requested && now() + call.matched.latencyObjectiveMs > abortsCallsAt
        ? Left(refusal(RefusalReason.Draining))
        : Right(call);
}

/** Why a call is not carried that was read too late. */
export function lateRefusal(
    { now }: Pick<CallContext, "now">,
    call: IncomingCall,
    arrivedAt: number,
): Refusal | undefined {
    const { deadlineMs } = call.matched.operation;
    const deadline = deadlineAt(arrivedAt, deadlineMs, call.askedDeadlineMs);
    return refusalIfReadLate({ lateMs: now() - arrivedAt, deadlineMs: deadline - arrivedAt });
}

/** Reads the head of a caller's request and finds its route. */
export function readEntryCall(
    { board, dialect, random }: CallContext,
    request: IncomingMessage,
): Either<Refusal, IncomingCall> {
    return readRequestHead(request.rawHeaders, dialect).chain(head => {
        const url = request.url ?? "";
        const method = request.method ?? "";
        const callId = head.daemonHeaders.get(dialect.callIdHeader);
        const asked = head.daemonHeaders.get(dialect.deadlineHeader);
        const askedDeadlineMs = asked === undefined ? undefined : dialect.readDeadlineMs(asked);
        if (
            (callId !== undefined && !callIdPattern.test(callId)) ||
            (asked !== undefined && askedDeadlineMs === undefined)
        ) {
            return Left(refusal(RefusalReason.Malformed));
        }
        return dialect
            .match(board, { method, url, head, random: random() })
            .chain(({ matched, backendPath, sendsRoute }) => {
                const route = sendsRoute ? encodeRoute(matched) : undefined;
                return checkSize({ head, method, url, backendPath, matched, callId, askedDeadlineMs, route });
            });
    });
}

/** Reads the head of a call that another daemon passed on. */
export function readHopCall(
    { board, dialect }: CallContext,
    request: IncomingMessage,
): Either<Refusal, IncomingCall> {
    const rules = { ...nativeDialect, forwardsHost: dialect.forwardsHost };
    return readRequestHead(request.rawHeaders, rules).chain(head => {
        const url = request.url ?? "";
        const method = request.method ?? "";
        const route = head.daemonHeaders.get(routeHeader);
        const matched =
            route === undefined
                ? matchNative(board, { method, url, head, random: 0 })
                : takeRoute(board, head, url);
        const callId = head.daemonHeaders.get("tanagertray-call-id");
        const askedDeadlineMs = parseDeadlineMs(head.daemonHeaders.get("tanagertray-deadline-ms") ?? "");
        const startWithinMs = parseDeadlineMs(head.daemonHeaders.get(startHeader) ?? "");
        return matched.chain(({ matched, backendPath }) =>
            askedDeadlineMs === undefined || (callId !== undefined && !callIdPattern.test(callId))
                ? Left(refusal(RefusalReason.Malformed))
                : checkSize({
                      head,
                      method,
                      url,
                      backendPath,
                      matched,
                      callId,
                      askedDeadlineMs,
                      startWithinMs,
                      route,
                  }),
        );
    });
}

function takeRoute(
    board: Board,
    head: RequestHead,
    url: string,
): Either<Refusal, Pick<DialectMatch, "matched" | "backendPath">> {
    const matched = decodeRoute(
        board,
        head.daemonHeaders.get(routeHeader) ?? "",
        head.daemonHeaders.get("tanagertray-caller") ?? "",
    );
    return matched === undefined
        ? Left(refusal(RefusalReason.HopRejected))
        : Right({ matched, backendPath: url });
}

function checkSize(call: IncomingCall): Either<Refusal, IncomingCall> {
    return (call.head.declaredBytes ?? 0) > call.matched.operation.maxBodyBytes
        ? Left(refusal(RefusalReason.TooLarge))
        : Right(call);
}

export const callerLeft = new Error("the caller left");
export const daemonStops = new Error("the daemon stopped waiting for calls in flight");
export const deadlinePassed = new Error("the deadline passed");

/** Cancels a call when its caller leaves, its deadline passes or the daemon stops waiting for it. */
export function openCancel(
    context: CallContext,
    response: ServerResponse,
    deadline: number,
): { readonly control: Cancellation; close(): void } {
    const control = createCancellation();
    const timer = context.timers.after(Math.max(0, deadline - context.now()), () =>
        control.cancel(deadlinePassed),
    );
    const leave = () => {
        // A response that was sent whole closes too.
        if (!response.writableFinished) {
            control.cancel(callerLeft);
        }
    };
    response.once("close", leave);
    const stopWaiting = onceConnectionCloses(response, leave);
    context.cancels.add(control);
    return {
        control,
        close() {
            timer.cancel();
            response.off("close", leave);
            stopWaiting?.();
            context.cancels.delete(control);
        },
    };
}

/**
 * Age at which a request is read from which its caller may have left, in milliseconds. Below it a call is started at most
 * this much after that.
 */
const lateReadMs = 100;

/**
 * Cancels a call that was read late if its caller has closed the connection. What is read first is the request; the close
 * shows at the next poll. Other calls wait for nothing.
 */
export function cancelIfLeft(
    { arrivals, now }: CallContext,
    control: Cancellation,
    { request, arrivedAt }: { readonly request: IncomingMessage; readonly arrivedAt: number },
): Promise<void> | undefined {
    if (now() - arrivedAt < lateReadMs) {
        return undefined;
    }
    return arrivals.polledAgain().then(() => {
        if (request.socket.readableEnded || request.socket.destroyed) {
            control.cancel(callerLeft);
        }
    });
}
