import { EventLevel, isHeadReadDue, MessageKind, type IncomingMessage } from "@tanagertray/core";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";

export interface HeadDutyOptions {
    /**
     * Uniform in [0, 1).
     * @default Math.random
     */
    readonly random?: () => number;
}

/**
 * Decides whether this host reads the head row, and reports its answered reads to the linked hosts of its failure domain.
 * Hosts that get no report for too long take over, whether the reader is not served, has failed, or is cut off.
 */
export function createHeadDuty(board: Board, { random = Math.random }: HeadDutyOptions = {}): Closeable {
    const duty = board.claimValue("headDuty");
    const outbox = board.claimFeed("headDutyOutbox");
    const events = board.claimFeed("headDutyEvents");
    const { host: self, failureDomain, platform } = board.read("settings");
    const spread = random();
    const reportedAt = new Map<string, number>();
    let expectsSince = board.read("clock").now;
    let hasLostReader = false;
    let knownReaders: readonly string[] = [];
    let reportedReadAt: number | undefined;
    let { answeredAt } = board.read("headDuty");

    function decide(): void {
        const { now } = board.read("clock");
        const { headReaders: readers } = board.read("topology");
        if (readers.join() !== knownReaders.join()) {
            knownReaders = readers;
            expectsSince = now;
            hasLostReader = false;
        }
        const isReading = isHeadReadDue({
            now,
            self,
            readers,
            isLinkedToReader: board.read("peerLinks").has(readers[0] ?? ""),
            reportedAt,
            expectsSince,
            hasLostReader,
            freshnessMs: platform.freshnessMs,
            spread,
        });
        const before = board.read("headDuty");
        if (isReading !== before.isReading || answeredAt !== before.answeredAt) {
            duty.write({ isReading, answeredAt });
        }
        if (isReading !== before.isReading) {
            const fields = { place: readers.indexOf(self), silentMs: now - lastReportAt() };
            const name = isReading ? "platform.headReadingStarted" : "platform.headReadingStopped";
            events.append({ name, level: EventLevel.Info, fields });
        }
    }

    function lastReportAt(): number {
        return Math.max(expectsSince, ...reportedAt.values());
    }

    function handleMessage({ from, receivedAt, message }: IncomingMessage): void {
        if (message.kind === MessageKind.HeadRead) {
            reportedAt.set(from, receivedAt);
            answeredAt = Math.max(answeredAt, receivedAt);
            hasLostReader = false;
        }
    }

    /** A closed link shows the failure of a process sooner than missing reports do. */
    function removeUnlinked(): void {
        const links = board.read("peerLinks");
        const latest = Math.max(...reportedAt.values());
        for (const [host, at] of reportedAt) {
            if (!links.has(host)) {
                reportedAt.delete(host);
                expectsSince = board.read("clock").now;
                hasLostReader ||= at === latest && knownReaders.includes(host);
            }
        }
        decide();
    }

    function reportRead(): void {
        const { headReadAt } = board.read("platformState");
        if (headReadAt === undefined || headReadAt === reportedReadAt) {
            return;
        }
        reportedReadAt = headReadAt;
        answeredAt = Math.max(answeredAt, headReadAt);
        for (const [host, link] of board.read("peerLinks")) {
            if (link.failureDomain === failureDomain) {
                outbox.append({ to: { host }, message: { kind: MessageKind.HeadRead } });
            }
        }
    }

    const subscriptions = [
        board.observe(["clock", "topology"], decide),
        board.observe(["peerLinks"], removeUnlinked),
        board.observe(["platformState"], reportRead),
        board.follow("peerInbox", handleMessage),
    ];
    return { close: () => subscriptions.forEach(subscription => subscription.close()) };
}
