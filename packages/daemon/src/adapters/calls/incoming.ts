import {
    deadlineAt,
    longestPauseMs,
    parseDeadlineMs,
    ReadinessState,
    refusal,
    refusalIfReadLate,
    RefusalReason,
    type MatchedCall,
    type Refusal,
} from "@tanagertray/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Left, Right, type Either } from "purify-ts/Either";
import type { Board } from "../../board.js";
import { tickMs } from "../clock.js";
import type { Arrivals } from "./arrivals.js";
import { onceCallerLeaves } from "./callerConnection.js";
import { createCancellation, type Cancellation } from "./cancellation.js";
import { maxCallsInProgress, pauseThresholdMs } from "./constants.js";
import type { CallContext } from "./context.js";
import type { DialectMatch } from "./dialect.js";
import { readRequestHead, type RequestHead } from "./headers.js";
import { decodeRoute, encodeRoute, routeHeader } from "./hopRoute.js";
import { matchNative, nativeDialect } from "./nativeDialect.js";
import { awaitedPollAgeMs } from "./pendingEvents.js";
import type { StageTimes } from "./stageTimes.js";

/** A request whose head is valid and matches an operation of the configuration. */
export interface IncomingCall {
    readonly head: RequestHead;
    readonly method: string;
    /** Request target as received, `/<service>/<path>`. */
    readonly url: string;
    /** Request target for the backend server. */
    readonly backendPath: string;
    readonly matched: MatchedCall;
    readonly callId: string | undefined;
    readonly requestedDeadlineMs: number | undefined;
    /** Time within which the entry daemon itself would still have started the call, in milliseconds. */
    readonly startWithinMs?: number | undefined;
    /** Age of the entry daemon's last poll of its connections when it sent the call, in milliseconds. */
    readonly pollAgeMs?: number;
    /** Value of the route header, if the host of the backend server cannot derive the route itself. */
    readonly route: string | undefined;
}

/** Times at which a call must have started and ended, in milliseconds since the epoch. */
export interface CallTimeLimits {
    /** The call is cancelled then. Counted from when it was read, so that a busy daemon does not cut it short. */
    readonly deadline: number;
    /** No attempt starts after this, because the caller may be gone. Counted from the earliest possible arrival. */
    readonly startBy: number;
}

export function timeLimitsOf(
    context: Pick<CallContext, "board" | "now">,
    {
        matched,
        requestedDeadlineMs,
        startWithinMs = Infinity,
    }: Pick<IncomingCall, "matched" | "requestedDeadlineMs" | "startWithinMs">,
    arrivedAt: number,
): CallTimeLimits {
    const { deadlineMs } = matched.operation;
    return {
        deadline: deadlineAt(
            Math.min(context.now(), lastTickBeforePause(context)),
            deadlineMs,
            requestedDeadlineMs,
        ),
        startBy: Math.min(deadlineAt(arrivedAt, deadlineMs, requestedDeadlineMs), arrivedAt + startWithinMs),
    };
}

/**
 * Header in which an entry daemon sends the time within which the call may still start. The HMAC does not cover it: it
 * can only shorten the deadline, which is covered.
 */
export const startWithinHeader = "tanagertray-start-ms";
/** Header with the age of the sender's last poll of its connections, in milliseconds. The HMAC does not cover it. */
export const pollAgeHeader = "tanagertray-poll-age-ms";
/**
 * Returns the age of this daemon's last poll, in milliseconds. The closes that it read have been acted on. At the end of a
 * turn, `lastPoll` may still name the poll of the turn before.
 */
export function pollAgeMs({ arrivals, now }: Pick<CallContext, "arrivals" | "now">): number {
    return Math.max(0, Math.ceil(Math.min(now() - arrivals.lastPoll(), awaitedPollAgeMs())));
}

/**
 * Returns the age that the sender states, in milliseconds. Messages of earlier releases do not state it, which counts as 0;
 * one that is not valid counts as infinite.
 */
export function decodePollAge(text: string | undefined): number {
    return text === undefined ? 0 : /^[0-9]{1,6}$/.test(text) ? Number(text) : Infinity;
}
const callIdPattern = /^[A-Za-z0-9._:-]{1,128}$/;

/**
 * Returns the earliest time at which a request that is read now can have arrived. While the process is busy or paused,
 * requests wait in socket buffers and their deadlines keep running.
 */
export function earliestArrival(
    context: Pick<CallContext, "board" | "now"> & { readonly arrivals: Pick<Arrivals, "earliest"> },
    { socket }: Pick<IncomingMessage, "socket">,
): number {
    return earliestRead(context, context.arrivals.earliest(socket));
}

/** Returns the earliest time at which a message that is read now on an open connection can have arrived. */
export function earliestMessageArrival(
    context: Pick<CallContext, "board" | "now"> & { readonly arrivals: Pick<Arrivals, "lastPoll"> },
): number {
    return earliestRead(context, context.arrivals.lastPoll());
}

/** Corrects the estimate of the event loop by the delay of the clock ticks. */
function earliestRead(context: Pick<CallContext, "board" | "now">, arrivedAt: number): number {
    const { board, now } = context;
    // A process that is throttled by its CPU quota may be stopped while it seems to wait for events. The last tick, or
    // the one that is due, is then late by the same time.
    const { now: lastTickAt, pausedForMs } = board.read("clock");
    const arrivalByTimerDelay = now() - Math.max(pausedForMs, now() - lastTickAt - tickMs);
    return Math.min(lastTickBeforePause(context), arrivedAt, arrivalByTimerDelay);
}

/** Last clock tick before a pause of the process, or infinity if it was not paused. */
function lastTickBeforePause({ board, now }: Pick<CallContext, "board" | "now">): number {
    const { now: lastTickAt, pausedForMs } = board.read("clock");
    const lastTick = pausedForMs > pauseThresholdMs ? lastTickAt - pausedForMs : lastTickAt;
    return now() - lastTick > pauseThresholdMs ? lastTick : Infinity;
}

/** Refuses a call if this host does not accept new calls. */
export function checkAcceptingCalls(context: CallContext, arrivedAt: number): Either<Refusal, true> {
    const { board, cancellations } = context;
    if (context.now() - arrivedAt > longestPauseMs) {
        // The pause is noticed here before the clock tick that fences the host.
        return Left(refusal(RefusalReason.NotReady));
    }
    if (cancellations.size >= maxCallsInProgress) {
        return Left(refusal(RefusalReason.QueueFull));
    }
    const { state } = board.read("readiness");
    const { requested, acceptsCallsUntil } = board.read("shutdown");
    if (requested || state === ReadinessState.Draining) {
        // Callers learn of the shutdown with a delay. Calls that they send until then are still served.
        const lingers = context.now() < acceptsCallsUntil && board.read("configuration").held !== undefined;
        return lingers ? Right(true) : Left(refusal(RefusalReason.Draining));
    }
    return state === ReadinessState.Ready ? Right(true) : Left(refusal(RefusalReason.NotReady));
}

/**
 * Refuses a call during a shutdown if its latency objective does not fit into the remaining grace period. It would be
 * aborted at the end of that period, and not every call can be repeated by its caller.
 */
export function checkShutdownTimeLeft(
    { board, now }: CallContext,
    call: IncomingCall,
): Either<Refusal, IncomingCall> {
    const { requested, abortsCallsAt } = board.read("shutdown");
    return requested && now() + call.matched.latencyObjectiveMs > abortsCallsAt
        ? Left(refusal(RefusalReason.Draining))
        : Right(call);
}

/** Returns the refusal of a call that was read too late, or `undefined` if it was read in time. */
export function lateRefusal(
    { now }: Pick<CallContext, "now">,
    call: IncomingCall,
    arrivedAt: number,
): Refusal | undefined {
    const { deadlineMs } = call.matched.operation;
    const deadline = deadlineAt(arrivedAt, deadlineMs, call.requestedDeadlineMs);
    return refusalIfReadLate({ lateMs: now() - arrivedAt, deadlineMs: deadline - arrivedAt });
}

/** Reads the head of a caller's request and matches it with the configuration. */
export function readEntryCall(
    { board, dialect, random }: CallContext,
    request: IncomingMessage,
): Either<Refusal, IncomingCall> {
    return readRequestHead(request.rawHeaders, dialect).chain(head => {
        const url = request.url ?? "";
        const method = request.method ?? "";
        const callId = head.daemonHeaders.get(dialect.callIdHeader);
        const deadlineText = head.daemonHeaders.get(dialect.deadlineHeader);
        const requestedDeadlineMs =
            deadlineText === undefined ? undefined : dialect.readDeadlineMs(deadlineText);
        if (
            (callId !== undefined && !callIdPattern.test(callId)) ||
            (deadlineText !== undefined && requestedDeadlineMs === undefined)
        ) {
            return Left(refusal(RefusalReason.Malformed));
        }
        return dialect
            .match(board, { method, url, head, random: random() })
            .chain(({ matched, backendPath, sendsRoute }) => {
                const route = sendsRoute ? encodeRoute(matched) : undefined;
                return checkBodySize({
                    head,
                    method,
                    url,
                    backendPath,
                    matched,
                    callId,
                    requestedDeadlineMs,
                    route,
                });
            });
    });
}

/** Reads the head of a call that another daemon forwarded, and matches it with the configuration. */
export function readHopCall(
    { board, dialect }: CallContext,
    request: IncomingMessage,
): Either<Refusal, IncomingCall> {
    const hopDialect = { ...nativeDialect, forwardsHost: dialect.forwardsHost };
    return readRequestHead(request.rawHeaders, hopDialect).chain(head => {
        const url = request.url ?? "";
        const method = request.method ?? "";
        const route = head.daemonHeaders.get(routeHeader);
        const matched =
            route === undefined
                ? matchNative(board, { method, url, head, random: 0 })
                : matchRouteHeader(board, head, url);
        const callId = head.daemonHeaders.get("tanagertray-call-id");
        const requestedDeadlineMs = parseDeadlineMs(head.daemonHeaders.get("tanagertray-deadline-ms") ?? "");
        const startWithinMs = parseDeadlineMs(head.daemonHeaders.get(startWithinHeader) ?? "");
        const pollAgeMs = decodePollAge(head.daemonHeaders.get(pollAgeHeader));
        return matched.chain(({ matched, backendPath }) =>
            requestedDeadlineMs === undefined || (callId !== undefined && !callIdPattern.test(callId))
                ? Left(refusal(RefusalReason.Malformed))
                : checkBodySize({
                      head,
                      method,
                      url,
                      backendPath,
                      matched,
                      callId,
                      requestedDeadlineMs,
                      startWithinMs,
                      pollAgeMs,
                      route,
                  }),
        );
    });
}

function matchRouteHeader(
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

function checkBodySize(call: IncomingCall): Either<Refusal, IncomingCall> {
    return (call.head.declaredBytes ?? 0) > call.matched.operation.maxBodyBytes
        ? Left(refusal(RefusalReason.TooLarge))
        : Right(call);
}

export const callerDisconnected = new Error("the caller closed its connection");
export const shutdownLimitReached = new Error("the shutdown limit for calls in flight was reached");
export const deadlinePassed = new Error("the deadline passed");
export const answeredElsewhere = new Error("another attempt of the call was answered");

/** Which connection of a call was closed. */
export const CallPlace = {
    /** The connection of the caller. */
    Entry: "entry",
    /** The connection of the entry daemon. */
    Hop: "hop",
} as const;
export type CallPlace = (typeof CallPlace)[keyof typeof CallPlace];

interface CancelledCall {
    readonly deadline: number;
    readonly place: CallPlace;
    readonly callId: string;
    /** Stage times of the call at this daemon; a call that was sent has `sentAt`. */
    readonly stages?: StageTimes;
}

/** Cancels a call when its caller disconnects, its deadline passes or the shutdown limit is reached. */
export function openCancellation(
    context: CallContext,
    response: ServerResponse,
    { deadline, place, callId, stages }: CancelledCall,
): { readonly cancellation: Cancellation; close(): void } {
    const cancellation = createCancellation();
    const timer = context.timers.after(Math.max(0, deadline - context.now()), () =>
        cancellation.cancel(deadlinePassed),
    );
    const readAt = context.now();
    const stopWatchingCaller = onceCallerLeaves(response, () => {
        if (response.writableFinished || cancellation.cancelled) {
            return;
        }
        cancellation.cancel(callerDisconnected);
        const now = context.now();
        context.telemetry.event("call.callerLeft", "info", {
            callId,
            place,
            ageMs: now - readAt,
            unreadMs: Math.round(now - context.arrivals.lastPoll()),
            sentMs: stages?.sentAt === undefined ? undefined : now - stages.sentAt,
            callerSeenMs: stages?.callerSeenMs,
        });
    });
    context.cancellations.add(cancellation);
    return {
        cancellation,
        close() {
            timer.cancel();
            stopWatchingCaller();
            context.cancellations.delete(cancellation);
        },
    };
}

/**
 * Age from which on a request is checked for a disconnected caller, in milliseconds. A younger call may start up to this
 * long after its caller disconnected.
 */
const disconnectCheckAgeMs = 100;

/**
 * Cancels a call that was read late if its caller has closed the connection. The close becomes visible only at the poll
 * after the one that read the request. Returns `undefined` for other calls, which need not wait.
 */
export function cancelIfDisconnected(
    { arrivals, now }: CallContext,
    cancellation: Cancellation,
    { request, arrivedAt }: { readonly request: IncomingMessage; readonly arrivedAt: number },
): Promise<void> | undefined {
    if (now() - arrivedAt < disconnectCheckAgeMs) {
        return undefined;
    }
    return arrivals.nextPoll().then(() => {
        if (request.socket.readableEnded || request.socket.destroyed) {
            cancellation.cancel(callerDisconnected);
        }
    });
}
