import {
    chooseDomainAddresses,
    HostState,
    isEndpoint,
    maxDomainAddresses,
    PlatformAnswer,
    PlatformOperation,
    type PlatformReply,
    type PlatformResult,
    type TaggedRow,
} from "@tanagertray/core";
import { backoffMs } from "../backoff.js";
import type { Board, ListedRow } from "../board.js";
import type { Closeable } from "../closeable.js";

/** Time between two reads of the domain rows by a host with too few links, in milliseconds. */
const fewLinksPeriodMs = 10_000;
/** Time between two reads of the domain rows by a domain relay with enough links, in milliseconds. */
const relayPeriodMs = 30_000;
/** Delay of the read after a write by this host, in milliseconds. Other starting domains write their rows meanwhile. */
const rereadAfterWriteMs = 500;
/** Delay of the read after a write that lost to one of another host, whose address this host does not know yet. */
const rereadAfterConflictMs = 100;
/** Longest random delay of the first read after a start, in milliseconds. */
const maxFirstReadDelayMs = 200;
/** Initial delay after a failed read, in milliseconds. It doubles up to `fewLinksPeriodMs`. */
const initialRetryDelayMs = 1_000;
/**
 * Initial delay after a read whose addresses led to no link, in milliseconds. It doubles up to `fewLinksPeriodMs`, and
 * covers the random delay of the first connections and a handshake with a host that does not answer.
 */
const initialRereadDelayMs = 4_000;
/** Prefix of the keys of all rows that are kept for each failure domain, which one read returns. */
const listPrefix = "domain";
const rowKeyPrefix = "domain/";
/** Prefix of the key of the row with the departures of a failure domain. */
export const departureRowKeyPrefix = "domainDepartures/";
/** Number of links below which a host reads the domain rows. */
const minLinks = 2;

export interface DomainRowOptions {
    /** @default Math.random */
    readonly random?: () => number;
}

/**
 * Reads the domain rows (`domain/<failure domain>`) once after the start, and while this host has too few links. A domain
 * relay also updates the row of its own failure domain. A row lists addresses for the first links of starting hosts and
 * other domains. The same read returns the departures of the failure domain.
 */
export function createDomainRow(board: Board, { random = Math.random }: DomainRowOptions = {}): Closeable {
    const addresses = board.claimValue("domainAddresses");
    const listedDepartureRow = board.claimValue("listedDepartureRow");
    const commands = board.claimFeed("domainRowIo");
    const { failureDomain } = board.read("settings");
    const ownKey = `${rowKeyPrefix}${failureDomain}`;
    let nextReadAt = board.read("clock").now + random() * maxFirstReadDelayMs;
    let sequence = 0;
    let pendingRead: string | undefined;
    let pendingWrite: string | undefined;
    /** Number of consecutive successful reads after which this host still had no link. */
    let readsWithoutLink = 0;
    /** Number of consecutive failed reads. */
    let failedReads = 0;
    let lastReadAt = 0;
    /** Addresses in the row of the own failure domain at the last read. */
    let lastListed: readonly string[] = [];
    let lastComposition = -1;

    function readIfDue(): void {
        const { now } = board.read("clock");
        const hasFewLinks = board.read("peerLinks").size < minLinks;
        advanceReadIfOutdated();
        const wasRead = board.read("domainAddresses") !== undefined;
        if (now < nextReadAt || !(hasFewLinks || !wasRead || board.read("topology").domainRelay)) {
            return;
        }
        lastReadAt = now;
        nextReadAt = now + (hasFewLinks ? fewLinksPeriodMs : relayPeriodMs);
        pendingRead = nextCommandId();
        const request = { operation: PlatformOperation.ListRows, prefix: listPrefix } as const;
        commands.append({ id: pendingRead, request });
    }

    function handleReply({ id, result }: PlatformReply): void {
        if (id === pendingWrite) {
            pendingWrite = undefined;
            const delayMs = rereadDelayMs(result);
            nextReadAt = Math.min(nextReadAt, board.read("clock").now + delayMs * (1 + random()));
        }
        if (id !== pendingRead) {
            return;
        }
        pendingRead = undefined;
        failedReads = result.answer === PlatformAnswer.Rows ? 0 : failedReads + 1;
        if (result.answer !== PlatformAnswer.Rows) {
            scheduleRetry(initialRetryDelayMs, failedReads);
        } else {
            addresses.write(decodeAddressRows(result.rows));
            listedDepartureRow.write(findRow(result.rows, `${departureRowKeyPrefix}${failureDomain}`));
            const { row, tag } = findRow(result.rows, ownKey);
            writeIfChanged(decodeAddresses(row), tag);
        }
    }

    /**
     * Reads sooner when the row should list other hosts. The first row after a start lists few hosts; if all of them
     * failed, other hosts would find no address until the next slow read.
     */
    function advanceReadIfOutdated(): void {
        const { compositionChanges: current, self, records } = board.read("membership");
        if (current === lastComposition || !board.read("topology").domainRelay) {
            return;
        }
        lastComposition = current;
        const wanted = chooseDomainAddresses(self, records.values(), lastListed, false);
        if (wanted.join() !== lastListed.join()) {
            nextReadAt = Math.min(nextReadAt, lastReadAt + fewLinksPeriodMs);
        }
    }

    /** Ignores write conflicts: another relay has written the row, and the next read returns it. */
    function writeIfChanged(listed: readonly string[], expectedTag: string | undefined): void {
        const { self, records } = board.read("membership");
        readsWithoutLink = board.read("peerLinks").size === 0 ? readsWithoutLink + 1 : 0;
        const listedUnreachable = readsWithoutLink > 1;
        lastListed = listed;
        if (readsWithoutLink > 0 && listed.some(address => address !== self.peerAddress)) {
            // The listed hosts may be gone for good, and the row may list others by now.
            scheduleRetry(initialRereadDelayMs, readsWithoutLink);
        }
        const wanted = chooseDomainAddresses(self, records.values(), listed, listedUnreachable);
        // The first host of a domain writes the row even before it has a role, so that the others find it.
        const isFirst = listed.length === 0;
        const maintainsRow =
            (board.read("topology").domainRelay || isFirst) && self.state === HostState.Alive;
        if (!maintainsRow || wanted.join() === listed.join()) {
            return;
        }
        const condition = expectedTag === undefined ? {} : { expectedTag };
        const row = { addresses: wanted };
        pendingWrite = nextCommandId();
        commands.append({
            id: pendingWrite,
            request: { operation: PlatformOperation.WriteRow, key: ownKey, row, ...condition },
        });
    }

    function scheduleRetry(initialMs: number, attempts: number): void {
        const delayMs = backoffMs(attempts, { initialMs, maxMs: fewLinksPeriodMs, random });
        nextReadAt = Math.min(nextReadAt, board.read("clock").now + delayMs);
    }

    function nextCommandId(): string {
        sequence += 1;
        return `domain-row-${sequence}`;
    }

    const subscriptions = [board.observe(["clock"], readIfDue), board.follow("platformReplies", handleReply)];
    return { close: () => subscriptions.forEach(subscription => subscription.close()) };
}

function rereadDelayMs({ answer }: PlatformResult): number {
    return answer === PlatformAnswer.Conflict ? rereadAfterConflictMs : rereadAfterWriteMs;
}

function findRow(rows: readonly TaggedRow[], key: string): ListedRow {
    const found = rows.find(row => row.key === key);
    return { row: found?.row, tag: found?.tag };
}

function decodeAddressRows(rows: readonly TaggedRow[]): ReadonlyMap<string, readonly string[]> {
    return new Map(
        rows
            .filter(({ key }) => key.startsWith(rowKeyPrefix))
            .map(({ key, row }) => [key.slice(rowKeyPrefix.length), decodeAddresses(row)]),
    );
}

function decodeAddresses(row: unknown): readonly string[] {
    const list: unknown = typeof row === "object" && row !== null ? Reflect.get(row, "addresses") : undefined;
    const isAddress = (entry: unknown): entry is string => typeof entry === "string" && isEndpoint(entry);
    return Array.isArray(list) ? list.filter(isAddress).slice(0, maxDomainAddresses) : [];
}
