import {
    EventLevel,
    headKey,
    PlatformAnswer,
    PlatformOperation,
    type Event,
    type Head,
    type PlatformCommand,
    type PlatformRequest,
    type PlatformResult,
} from "@tanagertray/core";
import type { Board } from "../../board.js";
import type { Closeable } from "../../closeable.js";
import { steadyNow } from "../../steadyClock.js";

/** Limit of the requests in flight to the platform, each on its own connection. */
export const maxRequestsInFlight = 8;
/** Limit of the requests waiting for a connection; further ones are refused. */
const maxPendingRequests = 1_024;

/** Sends requests to the table service and object store. */
export interface PlatformTransport {
    /** Sends one request. Resolves to a result for every failure and never rejects. */
    send(request: PlatformRequest): Promise<PlatformResult>;
    close(): Promise<void>;
}

/** Creates a transport, which reports with `appendEvent` what a result does not contain. */
export type TransportFactory = (board: Board, appendEvent: (event: Event) => void) => PlatformTransport;

export interface PlatformClientOptions {
    /** @default steadyNow */
    readonly now?: () => number;
}

/** Executes the platform requests on the blackboard and writes their replies and the newest head row. */
export function createPlatformClient(
    board: Board,
    createTransport: TransportFactory,
    { now: readTime = steadyNow }: PlatformClientOptions = {},
): Closeable {
    const replies = board.claimFeed("platformReplies");
    const state = board.claimValue("platformState");

    const events = board.claimFeed("platformEvents");
    const transport = createTransport(board, event => events.append(event));
    const pendingCommands: PlatformCommand[] = [];
    let inFlight = 0;

    function enqueue(command: PlatformCommand): void {
        if (pendingCommands.length >= maxPendingRequests) {
            const message = `${maxPendingRequests} requests to the platform are already waiting`;
            events.append({
                name: "platform.overloaded",
                level: EventLevel.Warn,
                fields: { id: command.id },
            });
            replies.append({ id: command.id, result: { answer: PlatformAnswer.Refused, message } });
            return;
        }
        pendingCommands.push(command);
        startPending();
    }

    function startPending(): void {
        while (inFlight < maxRequestsInFlight) {
            const command = pendingCommands.shift();
            if (command === undefined) {
                return;
            }
            inFlight += 1;
            void execute(command);
        }
    }

    async function execute(command: PlatformCommand): Promise<void> {
        const askedAt = readTime();
        const result = validateHead(command.request, await transport.send(command.request));
        inFlight -= 1;
        updateReachability(result);
        headUpdates[command.request.operation]?.(command.request as never, result, askedAt);
        replies.append({ id: command.id, result });
        startPending();
    }

    function updateReachability(result: PlatformResult): void {
        const reachable = result.answer !== PlatformAnswer.Lost;
        const before = board.read("platformState");
        if (before.reachable !== reachable) {
            state.write({ ...before, reachable, since: readTime() });
            events.append(reachabilityEvent(result, readTime() - before.since));
        }
    }

    type RequestOf<K> = Extract<PlatformRequest, { operation: K }>;

    const headUpdates: {
        [K in PlatformOperation]?: (request: RequestOf<K>, result: PlatformResult, askedAt: number) => void;
    } = {
        [PlatformOperation.ReadRow]: (request, result, askedAt) => {
            if (request.key === headKey && headAnswers.has(result.answer)) {
                updateAfterHeadRead(result, askedAt);
            }
        },
        // A head row written by this host takes effect at once, without waiting for the next read.
        [PlatformOperation.WriteRow]: (request, result) => {
            if (request.key === headKey && result.answer === PlatformAnswer.Written) {
                updateHead(request.row as Head, result.tag);
            }
        },
    };

    function updateAfterHeadRead(result: PlatformResult, askedAt: number): void {
        const knownVersion = board.read("platformState").head?.version ?? 0;
        const readVersion = result.answer === PlatformAnswer.Row ? (result.row as Head).version : 0;
        // The platform may return an older row than before, or none.
        const isStale = result.answer !== PlatformAnswer.Unchanged && readVersion < knownVersion;
        const before = board.read("platformState");
        const staleReads = before.staleReads + (isStale ? 1 : 0);
        if (isStale) {
            const fields = { read: readVersion, known: knownVersion, staleReads };
            events.append({ name: "platform.staleRead", level: EventLevel.Warn, fields });
        }
        // A stale read does not confirm that the known head row is current, so its time is not recorded.
        const times = isStale ? {} : { headReadAt: readTime(), headAskedAt: askedAt };
        state.write({ ...before, ...times, headRead: true, staleReads });
        if (result.answer === PlatformAnswer.Row) {
            updateHead(result.row as Head, result.tag);
        }
    }

    function updateHead(head: Head, headTag: string): void {
        const before = board.read("platformState");
        if (head.version > (before.head?.version ?? 0)) {
            state.write({ ...before, head, headTag });
        }
    }

    const subscriptions = (
        ["headReads", "objectReads", "revisionIo", "domainRowIo", "departureRowIo"] as const
    ).map(feed => board.follow(feed, enqueue));
    return {
        async close() {
            subscriptions.forEach(subscription => subscription.close());
            pendingCommands.length = 0;
            await transport.close();
        },
    };
}

/** Treats a head row without a valid version as a lost answer, because the version is all that it is read for. */
function validateHead(request: PlatformRequest, result: PlatformResult): PlatformResult {
    const isHeadRow =
        request.operation === PlatformOperation.ReadRow &&
        request.key === headKey &&
        result.answer === PlatformAnswer.Row;
    return isHeadRow && !Number.isSafeInteger((result.row as Partial<Head> | null)?.version)
        ? { answer: PlatformAnswer.Lost, message: "the head row has no valid version" }
        : result;
}

function reachabilityEvent(result: PlatformResult, afterMs: number): Event {
    return result.answer === PlatformAnswer.Lost
        ? {
              name: "platform.unreachable",
              level: EventLevel.Warn,
              fields: { afterMs, reason: result.message },
          }
        : { name: "platform.reachable", level: EventLevel.Info, fields: { afterMs, reason: undefined } };
}

const headAnswers: ReadonlySet<string> = new Set([
    PlatformAnswer.Row,
    PlatformAnswer.Missing,
    PlatformAnswer.Unchanged,
]);
