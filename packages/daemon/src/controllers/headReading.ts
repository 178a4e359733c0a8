import { headKey, PlatformAnswer, PlatformOperation, type PlatformReply } from "@tanagertray/core";
import { backoffMs } from "../backoff.js";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";

/** Time between two reads of the head row, in milliseconds. */
const headReadPeriodMs = 1_000;
/** Longest delay between two reads while the platform does not serve the head row, in milliseconds. */
const maxRetryDelayMs = 5_000;
/** Time after which an unanswered read no longer delays the next one, in milliseconds. */
const replyDeadlineMs = 5_000;
/** Prefix of the request ids of head reads; a sequence number follows. */
const readIdPrefix = "head-";

/** Reads the head row while this host is a head reader of its failure domain, one request at a time. */
export function createHeadReading(board: Board): Closeable {
    const reads = board.claimFeed("headReads");
    const { watchMs } = board.read("settings").platform;
    // A platform that supports long polling answers when the row changes, so the next read follows immediately.
    const periodAfter = { missing: headReadPeriodMs, served: watchMs > 0 ? 0 : headReadPeriodMs };
    let nextReadAt = 0;
    let sequence = 0;
    let failures = 0;

    function readIfDue(): void {
        const { now } = board.read("clock");
        const { head, headTag } = board.read("platformState");
        // Every host reads until it has seen a head row: one that started before the first version was accepted would
        // otherwise not learn that its own version is current.
        const isDue = now >= nextReadAt && (board.read("topology").headReader || head === undefined);
        if (!isDue) {
            return;
        }
        nextReadAt = now + replyDeadlineMs + watchMs;
        sequence += 1;
        const condition = headTag === undefined ? {} : { knownTag: headTag, waitMs: watchMs };
        const request = { operation: PlatformOperation.ReadRow, key: headKey, ...condition } as const;
        reads.append({ id: `${readIdPrefix}${sequence}`, request });
    }

    function handleReply({ id, result }: PlatformReply): void {
        if (id !== `${readIdPrefix}${sequence}`) {
            return;
        }
        const isUnserved = result.answer === PlatformAnswer.Lost || result.answer === PlatformAnswer.Refused;
        failures = isUnserved ? failures + 1 : 0;
        const delay = isUnserved
            ? backoffMs(failures, { initialMs: headReadPeriodMs, maxMs: maxRetryDelayMs })
            : periodAfter[result.answer === PlatformAnswer.Missing ? "missing" : "served"];
        nextReadAt = board.read("clock").now + delay;
    }

    const subscriptions = [board.observe(["clock"], readIfDue), board.follow("platformReplies", handleReply)];
    return { close: () => subscriptions.forEach(subscription => subscription.close()) };
}
