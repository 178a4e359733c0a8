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

/** Requests to the platform in flight, each on its own connection. */
export const maxRequestsInFlight = 8;
/** Requests that wait for a connection; further ones are refused. */
const maxRequestsWaiting = 1_024;

/** Carries single requests to the table service and object store. */
export interface PlatformTransport {
    /** Sends one request; every failure is a result. */
    send(request: PlatformRequest): Promise<PlatformResult>;
    close(): Promise<void>;
}

/** Creates a transport, which reports with `note` what a result cannot say. */
export type TransportFactory = (board: Board, note: (event: Event) => void) => PlatformTransport;

/** Carries out the platform requests on the blackboard and writes their replies and the last head row. */
export function createPlatformClient(board: Board, createTransport: TransportFactory): Closeable {
    const replies = board.claimFeed("platformReplies");
    const state = board.claimValue("platformState");

    const events = board.claimFeed("platformEvents");
    const transport = createTransport(board, event => events.append(event));
    const waiting: PlatformCommand[] = [];
    let inFlight = 0;

    function takeCommand(command: PlatformCommand): void {
        if (waiting.length >= maxRequestsWaiting) {
            const message = `${maxRequestsWaiting} requests already wait for the platform`;
            events.append({
                name: "platform.overloaded",
                level: EventLevel.Warn,
                fields: { id: command.id },
            });
            replies.append({ id: command.id, result: { answer: PlatformAnswer.Refused, message } });
            return;
        }
        waiting.push(command);
        startWaiting();
    }

    function startWaiting(): void {
        while (inFlight < maxRequestsInFlight) {
            const command = waiting.shift();
            if (command === undefined) {
                return;
            }
            inFlight += 1;
            void carryOut(command);
        }
    }

    async function carryOut(command: PlatformCommand): Promise<void> {
        const result = checkHead(command.request, await transport.send(command.request));
        inFlight -= 1;
        noteReachability(result);
        noteHeadOf[command.request.operation]?.(command.request as never, result);
        replies.append({ id: command.id, result });
        startWaiting();
    }

    function noteReachability(result: PlatformResult): void {
        const reachable = result.answer !== PlatformAnswer.Lost;
        const before = board.read("platformState");
        if (before.reachable !== reachable) {
            const now = steadyNow();
            state.write({ ...before, reachable, since: now });
            events.append(reachabilityEvent(result, now - before.since));
        }
    }

    type RequestOf<K> = Extract<PlatformRequest, { operation: K }>;

    const noteHeadOf: { [K in PlatformOperation]?: (request: RequestOf<K>, result: PlatformResult) => void } =
        {
            [PlatformOperation.ReadRow]: (request, result) => {
                if (request.key === headKey && answersOfHead.has(result.answer)) {
                    noteHeadRead(result);
                }
            },
            // The own write spreads at once, without a wait for the next read.
            [PlatformOperation.WriteRow]: (request, result) => {
                if (request.key === headKey && result.answer === PlatformAnswer.Written) {
                    noteHead(request.row as Head, result.tag);
                }
            },
        };

    function noteHeadRead(result: PlatformResult): void {
        const known = board.read("platformState").head?.version ?? 0;
        const isUnchanged = result.answer === PlatformAnswer.Unchanged;
        const read = result.answer === PlatformAnswer.Row ? (result.row as Head).version : 0;
        // The platform may serve an older row than before, or none.
        const isStale = !isUnchanged && read < known;
        const before = board.read("platformState");
        const staleReads = before.staleReads + (isStale ? 1 : 0);
        if (isStale) {
            const fields = { read, known, staleReads };
            events.append({ name: "platform.staleRead", level: EventLevel.Warn, fields });
        }
        // A stale read confirms nothing, so its time does not count.
        const headReadAt = isStale ? before.headReadAt : steadyNow();
        state.write({ ...before, headRead: true, headReadAt, staleReads });
        if (result.answer === PlatformAnswer.Row) {
            noteHead(result.row as Head, result.tag);
        }
    }

    function noteHead(head: Head, headTag: string): void {
        const before = board.read("platformState");
        if (head.version > (before.head?.version ?? 0)) {
            state.write({ ...before, head, headTag });
        }
    }

    const subscriptions = (["headReads", "objectReads", "revisionIo", "domainRowIo"] as const).map(feed =>
        board.follow(feed, takeCommand),
    );
    return {
        async close() {
            subscriptions.forEach(subscription => subscription.close());
            waiting.length = 0;
            await transport.close();
        },
    };
}

/** The head row is read for its version, so one without it tells as little as no answer. */
function checkHead(request: PlatformRequest, result: PlatformResult): PlatformResult {
    const isHeadRow =
        request.operation === PlatformOperation.ReadRow &&
        request.key === headKey &&
        result.answer === PlatformAnswer.Row;
    return isHeadRow && !Number.isSafeInteger((result.row as Partial<Head> | null)?.version)
        ? { answer: PlatformAnswer.Lost, message: "the head row has another form" }
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

const answersOfHead: ReadonlySet<string> = new Set([
    PlatformAnswer.Row,
    PlatformAnswer.Missing,
    PlatformAnswer.Unchanged,
]);
