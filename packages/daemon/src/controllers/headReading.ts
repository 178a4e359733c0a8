import {
    headKey,
    MessageKind,
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
 * does not serve it, in milliseconds. The head reader retries within half of the freshness limit.
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

/** Reads the head row while this host has the duty to, one request at a time. */
export function createHeadReading(board: Board): Closeable {
    const reads = board.claimFeed("headReads");
    const { watchMs, freshnessMs } = board.read("settings").platform;
    // A platform that supports long polling answers when the row changes, so the next read follows immediately.
    const servedPeriodMs = watchMs > 0 ? 0 : headReadPeriodMs;
    let nextReadAt = 0;
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
        isServed &&= hasDuty || !isOnDuty;
        hasDuty = isOnDuty;
        // Every host reads until it has seen a head row: one that started before the first version was accepted would
        // otherwise not learn that its own version is current.
        const isDue = now >= nextReadAt && (isOnDuty || head === undefined);
        if (!isDue) {
            return;
        }
        nextReadAt = now + replyDeadlineMs + watchMs;
        isReading = true;
        sequence += 1;
        const waitMs = isServed ? watchMs : Math.min(watchMs, probeWatchMs);
        const condition = headTag === undefined ? {} : { knownTag: headTag, waitMs };
        const request = { operation: PlatformOperation.ReadRow, key: headKey, ...condition } as const;
        reads.append({ id: `${readIdPrefix}${sequence}`, request });
    }

    function handleReply({ id, result }: PlatformReply): void {
        if (id !== `${readIdPrefix}${sequence}`) {
            return;
        }
        isReading = false;
        const { answer } = result;
        isServed = answer !== PlatformAnswer.Lost && answer !== PlatformAnswer.Refused;
        failures = isServed ? 0 : failures + 1;
        missing = answer === PlatformAnswer.Missing ? missing + 1 : 0;
        nextReadAt = board.read("clock").now + delayAfterReply();
    }

    function delayAfterReply(): number {
        const isUnserved = failures > 0;
        const isPatient = missing > 0 && !board.read("topology").headReader;
        if (isUnserved || isPatient) {
            const attempts = isUnserved ? failures : missing + 1;
            const isReader = isUnserved && board.read("topology").headReader;
            const maxMs = isReader ? Math.min(maxRetryDelayMs, freshnessMs / 2) : maxRetryDelayMs;
            return backoffMs(attempts, { initialMs: headReadPeriodMs, maxMs });
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
