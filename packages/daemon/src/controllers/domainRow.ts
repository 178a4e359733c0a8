import {
    chooseDomainAddresses,
    HostState,
    maxDomainAddresses,
    PlatformAnswer,
    PlatformOperation,
    type PlatformReply,
} from "@tanagertray/core";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";

/** Least time between two requests for the row by one host, in milliseconds. */
const domainRowPeriodMs = 10_000;
/** Spread of the first read of a starting host, in milliseconds. */
const joinJitterMs = 1_000;
/** Longest address that is taken from the row. */
const maxAddressLength = 255;
/** Links below which a host needs the addresses. */
const fewLinks = 2;

export interface DomainRowOptions {
    /** @default Math.random */
    readonly random?: () => number;
}

/**
 * Reads the row `domain/<failure domain>` while this host has too few links, and keeps it current as a domain
 * relay. The row lists the hosts from which a starting host gets its first links.
 */
export function createDomainRow(board: Board, { random = Math.random }: DomainRowOptions = {}): Closeable {
    const addresses = board.claimValue("domainAddresses");
    const io = board.claimFeed("domainRowIo");
    const key = `domain/${board.read("settings").failureDomain}`;
    let nextAt = board.read("clock").now + random() * joinJitterMs;
    let sequence = 0;
    let pendingRead: string | undefined;
    /** Reads in a row after which this host still had no link. */
    let readsWithoutLink = 0;

    function readWhenDue(): void {
        const { now } = board.read("clock");
        const needed = board.read("peerLinks").size < fewLinks || board.read("topology").domainRelay;
        if (now < nextAt || !needed) {
            return;
        }
        nextAt = now + domainRowPeriodMs;
        pendingRead = nextId();
        io.append({ id: pendingRead, request: { operation: PlatformOperation.ReadRow, key } });
    }

    function takeReply({ id, result }: PlatformReply): void {
        if (id !== pendingRead) {
            return;
        }
        pendingRead = undefined;
        if (result.answer === PlatformAnswer.Row) {
            const found = decodeAddresses(result.row);
            addresses.write(found);
            writeIfChanged(found, result.tag);
        } else if (result.answer === PlatformAnswer.Missing) {
            writeIfChanged([], undefined);
        }
    }

    /** A conflict means that another relay wrote; the next read shows what. */
    function writeIfChanged(listed: readonly string[], expectedTag: string | undefined): void {
        const { self, records } = board.read("membership");
        readsWithoutLink = board.read("peerLinks").size === 0 ? readsWithoutLink + 1 : 0;
        const unreachable = readsWithoutLink > 1;
        const wanted = chooseDomainAddresses(self, records.values(), listed, unreachable);
        const isKeeper = board.read("topology").domainRelay && self.state === HostState.Alive;
        if (!isKeeper || wanted.join() === listed.join()) {
            return;
        }
        const condition = expectedTag === undefined ? {} : { expectedTag };
        const row = { addresses: wanted };
        io.append({
            id: nextId(),
            request: { operation: PlatformOperation.WriteRow, key, row, ...condition },
        });
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
    const isAddress = (entry: unknown): entry is string =>
        typeof entry === "string" && entry.length <= maxAddressLength;
    return Array.isArray(list) ? list.filter(isAddress).slice(0, maxDomainAddresses) : [];
}
