import {
    appendDepartures,
    EventLevel,
    PlatformAnswer,
    PlatformOperation,
    readDepartureRow,
    storedDepartureKeys,
    unstoredDepartures,
    type PlatformReply,
    type PlatformRequest,
    type PlatformResult,
    type StoredDeparture,
} from "@tanagertray/core";
import { backoffMs } from "../backoff.js";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";
import { departureRowKeyPrefix } from "./domainRow.js";

/** Initial delay after a request that the platform did not serve, in milliseconds. It doubles up to `maxRetryDelayMs`. */
const initialRetryDelayMs = 200;
const maxRetryDelayMs = 5_000;
/** Time after which an unanswered request no longer delays the next one, in milliseconds. */
const replyDeadlineMs = 6_000;
/** Prefix of the request ids; a sequence number follows. */
const requestIdPrefix = "departure-row-";

interface KnownRow {
    readonly departures: readonly StoredDeparture[];
    /** `undefined` if the row does not exist. */
    readonly tag: string | undefined;
}

export interface DepartureRowOptions {
    /** @default Math.random */
    readonly random?: () => number;
}

/**
 * Stores the departures of this host's backend servers in a row of its failure domain
 * (`domainDepartures/<failure domain>`), so that they outlive the processes of all hosts. The first read of the domain
 * rows after the start returns this row, too.
 */
export function createDepartureRow(
    board: Board,
    { random = Math.random }: DepartureRowOptions = {},
): Closeable {
    const history = board.claimValue("departureHistory");
    const commands = board.claimFeed("departureRowIo");
    const events = board.claimFeed("departureRowEvents");
    const { host, failureDomain } = board.read("settings");
    const key = `${departureRowKeyPrefix}${failureDomain}`;
    /** `undefined` while the row has to be read before it can be written. */
    let row:
        { readonly departures: readonly StoredDeparture[]; readonly tag: string | undefined } | undefined;
    let pending:
        { readonly id: string; readonly sentAt: number; readonly request: PlatformRequest } | undefined;
    let sequence = 0;
    /** Consecutive requests that the platform did not serve. */
    let failures = 0;
    let nextRequestAt = 0;

    function sendIfDue(): void {
        const { now } = board.read("clock");
        const isWaiting = pending !== undefined && now < pending.sentAt + replyDeadlineMs;
        if (isWaiting || now < nextRequestAt) {
            return;
        }
        const unstored = unstoredDepartures(row?.departures ?? [], {
            host,
            departures: board.read("departures"),
            now,
        });
        if (unstored.length > 0) {
            const request = row === undefined ? readRequest(key) : writeRequest(key, row, { unstored, now });
            sequence += 1;
            pending = { id: `${requestIdPrefix}${sequence}`, sentAt: now, request };
            commands.append({ id: pending.id, request });
        }
    }

    function handleReply({ id, result }: PlatformReply): void {
        if (pending === undefined || id !== pending.id) {
            return;
        }
        const { request } = pending;
        pending = undefined;
        (replyHandlers[result.answer] as (result: PlatformResult, request: PlatformRequest) => void)(
            result,
            request,
        );
        sendIfDue();
    }

    type ResultOf<K> = Extract<PlatformResult, { answer: K }>;

    const replyHandlers: {
        [K in PlatformAnswer]: (result: ResultOf<K>, request: PlatformRequest) => void;
    } = {
        [PlatformAnswer.Row]: ({ row: value, tag }) => useRow(readDepartureRow(value), tag),
        [PlatformAnswer.Missing]: () => useRow([], undefined),
        [PlatformAnswer.Written]: ({ tag }, request) =>
            useRow("row" in request ? readDepartureRow(request.row) : [], tag),
        // Another host of the failure domain has written the row.
        [PlatformAnswer.Conflict]: () => (row = undefined),
        [PlatformAnswer.Refused]: retryLater,
        [PlatformAnswer.Lost]: retryLater,
        [PlatformAnswer.Rows]: retryLater,
        [PlatformAnswer.Object]: retryLater,
        [PlatformAnswer.Unchanged]: retryLater,
    };

    function useListedRow(): void {
        const listed = board.read("listedDepartureRow");
        // A row that was listed during a write may be older than the one that was written.
        if (listed !== undefined && pending === undefined) {
            useRow(readDepartureRow(listed.row), listed.tag);
        }
    }

    function useRow(departures: readonly StoredDeparture[], tag: string | undefined): void {
        failures = 0;
        row = { departures, tag };
        history.write({
            isRead: true,
            departures: departures.filter(departure => departure.host === host),
            storedKeys: storedDepartureKeys(departures, host),
        });
    }

    function retryLater(): void {
        failures += 1;
        // The write may have taken effect.
        row = undefined;
        const delayMs = backoffMs(failures, {
            initialMs: initialRetryDelayMs,
            maxMs: maxRetryDelayMs,
            random,
        });
        nextRequestAt = board.read("clock").now + delayMs;
        const fields = { failures, delayMs: Math.round(delayMs) };
        events.append({ name: "backendServer.departuresUnstored", level: EventLevel.Warn, fields });
    }

    history.write({ isRead: false, departures: [], storedKeys: new Set() });
    const subscriptions = [
        board.observe(["clock", "departures"], sendIfDue),
        board.observe(["listedDepartureRow"], useListedRow),
        board.follow("platformReplies", handleReply),
    ];
    return { close: () => subscriptions.forEach(subscription => subscription.close()) };
}

function readRequest(key: string): PlatformRequest {
    return { operation: PlatformOperation.ReadRow, key };
}

function writeRequest(
    key: string,
    { departures, tag }: KnownRow,
    { unstored, now }: { readonly unstored: readonly StoredDeparture[]; readonly now: number },
): PlatformRequest {
    return {
        operation: PlatformOperation.WriteRow,
        key,
        row: appendDepartures(departures, unstored, now),
        ...(tag === undefined ? {} : { expectedTag: tag }),
    };
}
