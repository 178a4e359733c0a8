import { CallStage, type StageDurations } from "@tanagertray/core";

/** Instants and waits of one attempt at this daemon, in milliseconds; each part of the call path fills in its own. */
export interface StageTimes {
    readonly arrivedAt: number;
    readonly readAt: number;
    /** Start of this attempt: the read for the first one. */
    readonly startedAt: number;
    /** Time until the body had arrived, where it was received before the call took a slot. */
    bodyMs?: number;
    queuedMs?: number;
    sentAt?: number;
    answeredAt?: number;
    /** What the other daemon of a hop said of its own stages. */
    took?: HopStages | undefined;
}

/** Stages of a hop at the daemon of the backend server, in milliseconds. */
export interface HopStages {
    readonly queuedMs: number;
    readonly backendMs: number;
}

/** Header of a hop's response with the stages at the daemon that answers. */
export const tookHeader = "tanagertray-took";
const tookPattern = /^(\d{1,9});(\d{1,9})$/;

/** Header with the wait and the time of the backend server, in whole milliseconds. */
export function encodeTook({ queuedMs = 0, sentAt = 0, answeredAt = sentAt }: StageTimes): readonly string[] {
    return [tookHeader, `${queuedMs};${answeredAt - sentAt}`];
}

export function decodeTook(text: string | undefined): HopStages | undefined {
    const [, queuedMs, backendMs] = tookPattern.exec(text ?? "") ?? [];
    return queuedMs === undefined ? undefined : { queuedMs: Number(queuedMs), backendMs: Number(backendMs) };
}

/** Durations of an attempt on this host; those of its parts that were not reached are left out. */
export function localStages(times: StageTimes): StageDurations {
    return { ...sendStages(times), ...answerStage(times, CallStage.Backend, 0) };
}

/** Durations of an attempt on another host. */
export function hopStages(times: StageTimes): StageDurations {
    const { took } = times;
    return {
        ...sendStages(times),
        ...(took === undefined ? {} : answerStage(times, CallStage.Hop, took.queuedMs + took.backendMs)),
    };
}

function sendStages({ arrivedAt, readAt, startedAt, queuedMs, sentAt }: StageTimes): StageDurations {
    return {
        [CallStage.Read]: readAt - arrivedAt,
        ...(queuedMs === undefined ? {} : { [CallStage.Queue]: queuedMs }),
        ...(sentAt === undefined ? {} : { [CallStage.Send]: sentAt - startedAt - (queuedMs ?? 0) }),
    };
}

function answerStage({ sentAt, answeredAt }: StageTimes, stage: CallStage, lessMs: number): StageDurations {
    return sentAt === undefined || answeredAt === undefined
        ? {}
        : { [stage]: Math.max(0, answeredAt - sentAt - lessMs) };
}

/** Fields of a log line: how late the call was read, how long it waited for a slot, and when it was written. */
export function stageFields({ arrivedAt, readAt, bodyMs, queuedMs, sentAt }: StageTimes) {
    return {
        readAfterMs: Math.round(readAt - arrivedAt),
        bodyMs,
        queuedMs,
        sentAfterMs: sentAt === undefined ? undefined : sentAt - readAt,
    };
}
