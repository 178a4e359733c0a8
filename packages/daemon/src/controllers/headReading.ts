import {
    EventLevel,
    headKey,
    isDomainServed,
    MessageKind,
    nextHeadTurnAt,
    PlatformAnswer,
    PlatformOperation,
    type IncomingMessage,
    type PlatformReply,
} from "@tanagertray/core";
import { backoffMs } from "../backoff.js";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";

/** Time between two reads of the head row, in milliseconds. */
const headReadPeriodMs = 1_000;
/**
 * Longest delay between two reads while there is no head row and this host is not the head reader, or while the platform
 * does not serve it, in milliseconds. The head reader retries within half of the freshness limit, and the hosts in the order
 * of a failure domain that the platform does not serve take turns.
 */
const maxRetryDelayMs = 5_000;
/**
 * Time for which the platform may hold a read while it is not known to serve this host, in milliseconds. Its answer shows
 * that sooner than one after `watchMs`.
 */
const probeWatchMs = 100;
/** Time after which an unanswered read no longer delays the next one, in milliseconds. */
const replyDeadlineMs = 5_000;
/** Prefix of the request ids of head reads; a sequence number follows. */
const readIdPrefix = "head-";

export interface HeadReadingOptions {
    /**
     * Uniform in [0, 1).
     * @default Math.random
     */
    readonly random?: () => number;
}

/** Reads the head row while this host has the duty to, one request at a time. */
export function createHeadReading(
    board: Board,
    { random = Math.random }: HeadReadingOptions = {},
): Closeable {
    const reads = board.claimFeed("headReads");
    const events = board.claimFeed("headReadingEvents");
    const { watchMs, freshnessMs } = board.read("settings").platform;
    // A platform that supports long polling answers when the row changes, so the next read follows immediately.
    const servedPeriodMs = watchMs > 0 ? 0 : headReadPeriodMs;
    let nextReadAt = 0;
    let lastReadAt = 0;
    let sequence = 0;
    /** Consecutive reads that the platform did not serve. */
    let failures = 0;
    /** Consecutive reads that found no head row. */
    let missing = 0;
    let isReading = false;
    let hasDuty = false;
    /** Whether the platform has answered the last read since this host got the duty to read. */
    let isServed = false;

    function readIfDue(): void {
        const { now } = board.read("clock");
        const { head, headTag } = board.read("platformState");
        const { isReading: isOnDuty } = board.read("headDuty");
        // An answer from before a time without the duty does not show that the platform still serves this host.
        if (isOnDuty && !hasDuty) {
            isServed = false;
            failures = 0;
            nextReadAt = isReading ? nextReadAt : now;
        }
        hasDuty = isOnDuty;
        // Every host reads until it has seen a head row: one that started before the first version was accepted would
        // otherwise not learn that its own version is current.
        const isDue = now >= (turnAt() ?? nextReadAt) && (isOnDuty || head === undefined);
        if (!isDue) {
            return;
        }
        nextReadAt = now + replyDeadlineMs + watchMs;
        lastReadAt = now;
        isReading = true;
        sequence += 1;
        const waitMs = isServed ? watchMs : Math.min(watchMs, probeWatchMs);
        const condition = headTag === undefined ? {} : { knownTag: headTag, waitMs };
        const request = { operation: PlatformOperation.ReadRow, key: headKey, ...condition } as const;
        reads.append({ id: `${readIdPrefix}${sequence}`, request });
    }

    const turnAt = () => (failures > 0 && !isReading ? nextTurnAt(board, lastReadAt) : undefined);

    function handleReply({ id, result }: PlatformReply): void {
        if (id !== `${readIdPrefix}${sequence}`) {
            return;
        }
        isReading = false;
        const { answer } = result;
        isServed = answer !== PlatformAnswer.Lost && answer !== PlatformAnswer.Refused;
        failures = isServed ? 0 : failures + 1;
        missing = answer === PlatformAnswer.Missing ? missing + 1 : 0;
        const { now } = board.read("clock");
        nextReadAt = now + delayAfterReply();
        if (!isServed) {
            const fields = {
                answer,
                tookMs: now - lastReadAt,
                failures,
                nextMs: Math.max(0, Math.round((turnAt() ?? nextReadAt) - now)),
            };
            events.append({ name: "platform.headReadFailed", level: EventLevel.Info, fields });
        }
    }

    function delayAfterReply(): number {
        const isUnserved = failures > 0;
        const isPatient = missing > 0 && !board.read("topology").headReader;
        if (isUnserved || isPatient) {
            const attempts = isUnserved ? failures : missing + 1;
            const isReader = isUnserved && board.read("topology").headReader;
            const maxMs = isReader ? Math.min(maxRetryDelayMs, freshnessMs / 2) : maxRetryDelayMs;
            return backoffMs(attempts, { initialMs: headReadPeriodMs, maxMs, random });
        }
        return missing > 0 ? headReadPeriodMs : servedPeriodMs;
    }

    /** Reads as soon as a peer holds a version: the head row exists by then. */
    function handleMessage({ message }: IncomingMessage): void {
        const isVersion = message.kind === MessageKind.Heartbeat || message.kind === MessageKind.Announce;
        if (isVersion && message.version > 0 && missing > 0 && !isReading) {
            missing = 0;
            nextReadAt = board.read("clock").now;
        }
    }

    const subscriptions = [
        board.observe(["clock", "headDuty"], readIfDue),
        board.follow("platformReplies", handleReply),
        board.follow("peerInbox", handleMessage),
    ];
    return { close: () => subscriptions.forEach(subscription => subscription.close()) };
}

/** Time of the next turn of a host that is not served; `undefined` if it does not take turns. */
function nextTurnAt(board: Board, lastReadAt: number): number | undefined {
    const { host, failureDomain, platform } = board.read("settings");
    const { headReaders } = board.read("topology");
    const { isReading: isOnDuty, answeredAt } = board.read("headDuty");
    const { now } = board.read("clock");
    const { freshnessMs } = platform;
    const place = headReaders.indexOf(host);
    const hasHead = board.read("platformState").head !== undefined;
    const takesTurns = isOnDuty && hasHead && place >= 0 && !isDomainServed(answeredAt, { now, freshnessMs });
    const places = headReaders.length;
    return takesTurns
        ? nextHeadTurnAt({ place, places, answeredAt, lastReadAt, freshnessMs, failureDomain })
        : undefined;
}
