import { headKey, PlatformAnswer, PlatformOperation, type PlatformReply } from "@tanagertray/core";
import { backoffMs } from "../backoff.js";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";

/** Period of head reads by a head reader, in milliseconds. */
const headReadPeriodMs = 1_000;
/** Longest period while the platform does not serve the head row, in milliseconds. */
const longestRetryMs = 5_000;
/** Time after which an unanswered read no longer holds up the next one, in milliseconds. */
const replyDeadlineMs = 5_000;
/** Prefix of the ids of head reads, followed by a sequence number. */
const readIdPrefix = "head-";

/** Asks for the head row while this host is a head reader of its failure domain, one read at a time. */
export function createHeadReading(board: Board): Closeable {
    const reads = board.claimFeed("headReads");
    const { watchMs } = board.read("settings").platform;
    // A platform that holds reads answers as soon as the row changes, so the next read follows at once.
    const periodAfter = { missing: headReadPeriodMs, served: watchMs > 0 ? 0 : headReadPeriodMs };
    let nextReadAt = 0;
    let sequence = 0;
    let failures = 0;

    function readWhenDue(): void {
        const { now } = board.read("clock");
        const { head, headTag } = board.read("platformState");
        // A host that started before the first version was accepted still has to learn that its own is current.
        const due = now >= nextReadAt && (board.read("topology").headReader || head === undefined);
        if (!due) {
            return;
        }
        nextReadAt = now + replyDeadlineMs + watchMs;
        sequence += 1;
        const known = headTag === undefined ? {} : { knownTag: headTag, waitMs: watchMs };
        const request = { operation: PlatformOperation.ReadRow, key: headKey, ...known } as const;
        reads.append({ id: `${readIdPrefix}${sequence}`, request });
    }

    function takeReply({ id, result }: PlatformReply): void {
        if (id !== `${readIdPrefix}${sequence}`) {
            return;
        }
        const isUnserved = result.answer === PlatformAnswer.Lost || result.answer === PlatformAnswer.Refused;
        failures = isUnserved ? failures + 1 : 0;
        const delay = isUnserved
            ? backoffMs(failures, { firstMs: headReadPeriodMs, longestMs: longestRetryMs })
            : periodAfter[result.answer === PlatformAnswer.Missing ? "missing" : "served"];
        nextReadAt = board.read("clock").now + delay;
    }

    const subscriptions = [board.observe(["clock"], readWhenDue), board.follow("platformReplies", takeReply)];
    return { close: () => subscriptions.forEach(subscription => subscription.close()) };
}
