import { headKey, PlatformOperation } from "@tanagertray/core";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";

/** Period of head reads by a head reader, in milliseconds. */
const headReadPeriodMs = 1_000;
/** Period while the platform is unreachable, in milliseconds. */
const headRetryPeriodMs = 5_000;

/** Asks for the head row while this host is a head reader of its failure domain. */
export function createHeadReading(board: Board): Closeable {
    const reads = board.claimFeed("headReads");
    let nextReadAt = 0;
    let sequence = 0;
    const subscription = board.observe(["clock"], () => {
        const { now } = board.read("clock");
        const { headRead, reachable } = board.read("platformState");
        const due = now >= nextReadAt && (board.read("topology").headReader || !headRead);
        if (!due) {
            return;
        }
        nextReadAt = now + (reachable || !headRead ? headReadPeriodMs : headRetryPeriodMs);
        sequence += 1;
        const request = { operation: PlatformOperation.ReadRow, key: headKey } as const;
        reads.append({ id: `head-${sequence}`, request });
    });
    return { close: () => subscription.close() };
}
