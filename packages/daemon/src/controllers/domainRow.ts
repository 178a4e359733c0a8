import {
    chooseDomainAddresses,
    HostState,
    isEndpoint,
    maxDomainAddresses,
    PlatformAnswer,
    PlatformOperation,
    type PlatformReply,
} from "@tanagertray/core";
import { backoffMs } from "../backoff.js";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";

/** Time between two reads of the rows by a host with too few links, in milliseconds. */
const domainRowPeriodMs = 10_000;
/** Time between two reads of the rows by a domain relay that has its links, in milliseconds. */
const relayPeriodMs = 30_000;
/** Time after an own write until the rows are read again, in which other starting domains write theirs. */
const rereadMs = 500;
/** Spread of the first read of a starting host, in milliseconds. */
const joinJitterMs = 500;
/** First wait after a read that was not answered, in milliseconds; doubles up to the period of a host with too few links. */
const firstRetryMs = 1_000;
/**
 * First wait after a read whose addresses brought no link, in milliseconds; doubles likewise. Covers the spread of the
 * first connects and a handshake with a host that does not answer.
 */
const firstRereadMs = 4_000;
/** Prefix of the keys of the rows. */
const domainPrefix = "domain/";
/** Links below which a host needs the addresses. */
const fewLinks = 2;

export interface DomainRowOptions {
    /** @default Math.random */
    readonly random?: () => number;
}

/**
 * Reads the rows `domain/<failure domain>` while this host has too few links, and as a domain relay keeps that of its
 * own domain current. A row lists the hosts from which a starting host, or another domain, gets its first links.
 */
export function createDomainRow(board: Board, { random = Math.random }: DomainRowOptions = {}): Closeable {
    const addresses = board.claimValue("domainAddresses");
    const io = board.claimFeed("domainRowIo");
    const key = `${domainPrefix}${board.read("settings").failureDomain}`;
    let nextAt = board.read("clock").now + random() * joinJitterMs;
    let sequence = 0;
    let pendingRead: string | undefined;
    let pendingWrite: string | undefined;
    /** Answered reads in a row at which this host still had no link. */
    let readsWithoutLink = 0;
    /** Reads in a row that were not answered. */
    let failedReads = 0;
    let readAt = 0;
    let listedLast: readonly string[] = [];
    let composition = -1;

    function readWhenDue(): void {
        const { now } = board.read("clock");
        const isLonely = board.read("peerLinks").size < fewLinks;
        readSoonerWhenOutdated();
        if (now < nextAt || !(isLonely || board.read("topology").domainRelay)) {
            return;
        }
        readAt = now;
        nextAt = now + (isLonely ? domainRowPeriodMs : relayPeriodMs);
        pendingRead = nextId();
        const request = { operation: PlatformOperation.ListRows, prefix: domainPrefix } as const;
        io.append({ id: pendingRead, request });
    }

    function takeReply({ id, result }: PlatformReply): void {
        if (id === pendingWrite) {
            pendingWrite = undefined;
            nextAt = Math.min(nextAt, board.read("clock").now + rereadMs * (1 + random()));
        }
        if (id !== pendingRead) {
            return;
        }
        pendingRead = undefined;
        failedReads = result.answer === PlatformAnswer.Rows ? 0 : failedReads + 1;
        if (result.answer !== PlatformAnswer.Rows) {
            readAgain(firstRetryMs, failedReads);
        } else {
            addresses.write(
                new Map(
                    result.rows.map(({ key: found, row }) => [
                        found.slice(domainPrefix.length),
                        decodeAddresses(row),
                    ]),
                ),
            );
            const own = result.rows.find(row => row.key === key);
            writeIfChanged(decodeAddresses(own?.row), own?.tag);
        }
    }

    /** After a start the first row lists few hosts. A loss of all of them would leave the others to the next slow read. */
    function readSoonerWhenOutdated(): void {
        const { composition: current, self, records } = board.read("membership");
        if (current === composition || !board.read("topology").domainRelay) {
            return;
        }
        composition = current;
        const wanted = chooseDomainAddresses(self, records.values(), listedLast, false);
        if (wanted.join() !== listedLast.join()) {
            nextAt = Math.min(nextAt, readAt + domainRowPeriodMs);
        }
    }

    /** A conflict means that another relay wrote; the next read shows what. */
    function writeIfChanged(listed: readonly string[], expectedTag: string | undefined): void {
        const { self, records } = board.read("membership");
        readsWithoutLink = board.read("peerLinks").size === 0 ? readsWithoutLink + 1 : 0;
        const unreachable = readsWithoutLink > 1;
        listedLast = listed;
        if (readsWithoutLink > 0 && listed.some(address => address !== self.peerAddress)) {
            // The listed hosts may have gone for good, and others may have listed themselves since.
            readAgain(firstRereadMs, readsWithoutLink);
        }
        const wanted = chooseDomainAddresses(self, records.values(), listed, unreachable);
        const isKeeper = board.read("topology").domainRelay && self.state === HostState.Alive;
        if (!isKeeper || wanted.join() === listed.join()) {
            return;
        }
        const condition = expectedTag === undefined ? {} : { expectedTag };
        const row = { addresses: wanted };
        pendingWrite = nextId();
        io.append({
            id: pendingWrite,
            request: { operation: PlatformOperation.WriteRow, key, row, ...condition },
        });
    }

    function readAgain(firstMs: number, attempts: number): void {
        const delayMs = backoffMs(attempts, { firstMs, longestMs: domainRowPeriodMs, random });
        nextAt = Math.min(nextAt, board.read("clock").now + delayMs);
    }

    function nextId(): string {
        sequence += 1;
        return `domain-row-${sequence}`;
    }

    const subscriptions = [board.observe(["clock"], readWhenDue), board.follow("platformReplies", takeReply)];
    return { close: () => subscriptions.forEach(subscription => subscription.close()) };
}

function decodeAddresses(row: unknown): readonly string[] {
    const list: unknown = typeof row === "object" && row !== null ? Reflect.get(row, "addresses") : undefined;
    const isAddress = (entry: unknown): entry is string => typeof entry === "string" && isEndpoint(entry);
    return Array.isArray(list) ? list.filter(isAddress).slice(0, maxDomainAddresses) : [];
}
