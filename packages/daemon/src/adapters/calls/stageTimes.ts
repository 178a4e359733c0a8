import { CallStage, type StageDurations } from "@tanagertray/core";

/** Timestamps and waits of one attempt at this daemon, in milliseconds. Each part of the call path sets its own. */
export interface StageTimes {
    readonly arrivedAt: number;
    readonly readAt: number;
    /** Start of this attempt. Equals `readAt` for the first one. */
    readonly startedAt: number;
    /** Time to receive the body, including the wait for its turn, if it was received before the call took a slot. */
    bodyMs?: number;
    queuedMs?: number;
    sentAt?: number;
    /** When the call was sent: time since the caller was last known to be connected. */
    callerSeenMs?: number;
    answeredAt?: number;
    /** Stages at the other daemon of a hop, as reported in its response. */
    remoteStages?: HopStages | undefined;
}

/** Stages of a hop at the daemon of the backend server, in milliseconds. */
export interface HopStages {
    readonly queuedMs: number;
    readonly backendMs: number;
}

/** Response header of a hop with the stages at the daemon that responds. */
export const hopStagesHeader = "tanagertray-took";
const hopStagesPattern = /^(\d{1,9});(\d{1,9})$/;

/** Returns the header with the queue time and the time of the backend server, in whole milliseconds. */
export function encodeHopStages({
    queuedMs = 0,
    sentAt = 0,
    answeredAt = sentAt,
}: StageTimes): readonly string[] {
    return [hopStagesHeader, `${queuedMs};${answeredAt - sentAt}`];
}

export function decodeHopStages(text: string | undefined): HopStages | undefined {
    const [, queuedMs, backendMs] = hopStagesPattern.exec(text ?? "") ?? [];
    return queuedMs === undefined ? undefined : { queuedMs: Number(queuedMs), backendMs: Number(backendMs) };
}

/** Stage durations of an attempt on this host. Stages that were not reached are omitted. */
export function localDurations(times: StageTimes): StageDurations {
    return { ...sendDurations(times), ...responseDuration(times, CallStage.Backend, 0) };
}

/** Stage durations of an attempt on another host. */
export function hopDurations(times: StageTimes): StageDurations {
    const { remoteStages } = times;
    return {
        ...sendDurations(times),
        ...(remoteStages === undefined
            ? {}
            : responseDuration(times, CallStage.Hop, remoteStages.queuedMs + remoteStages.backendMs)),
    };
}

function sendDurations({ arrivedAt, readAt, startedAt, queuedMs, sentAt }: StageTimes): StageDurations {
    return {
        [CallStage.Read]: readAt - arrivedAt,
        ...(queuedMs === undefined ? {} : { [CallStage.Queue]: queuedMs }),
        ...(sentAt === undefined ? {} : { [CallStage.Send]: sentAt - startedAt - (queuedMs ?? 0) }),
    };
}

function responseDuration(
    { sentAt, answeredAt }: StageTimes,
    stage: CallStage,
    remoteMs: number,
): StageDurations {
    return sentAt === undefined || answeredAt === undefined
        ? {}
        : { [stage]: Math.max(0, answeredAt - sentAt - remoteMs) };
}

/**
 * Log fields: how late the call was read, how long its body and its slot took, when it was sent, and for how long the
 * caller had not been seen then.
 */
export function stageLogFields({ arrivedAt, readAt, bodyMs, queuedMs, sentAt, callerSeenMs }: StageTimes) {
    return {
        readAfterMs: Math.round(readAt - arrivedAt),
        bodyMs,
        queuedMs,
        sentAfterMs: sentAt === undefined ? undefined : sentAt - readAt,
        callerSeenMs,
    };
}
