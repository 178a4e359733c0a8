import type { EventLevel } from "@tanagertray/core";
import {
    emptyHostTable,
    MessageKind,
    type LinkOutages,
    type HostRecord,
    type OutgoingMessage,
} from "@tanagertray/core";
import type { Board } from "../board.js";
import type { MembershipOptions } from "./membership.js";

/** Period of anti-entropy with one random linked host, in milliseconds. */
export const antiEntropyMs = 10_000;

/** State of the membership controller, shared by its modules alone. */
export function createContext(board: Board, { random = Math.random }: MembershipOptions) {
    const { now } = board.read("clock");
    return {
        board,
        random,
        membership: board.claimValue("membership"),
        outbox: board.claimFeed("membershipOutbox"),
        events: board.claimFeed("membershipEvents"),
        table: emptyHostTable,
        absences: new Map() as LinkOutages,
        /** Received records by sender, until the next tick. */
        pending: new Map<string, HostRecord[]>(),
        pendingCount: 0,
        /** Versions seen since the last write of the watermarks. */
        raised: new Map<string, number>(),
        moved: false,
        greeted: new Set<string>(),
        publishedAt: now,
        announcedVersion: 0,
        laggingSince: undefined as number | undefined,
        lagPublished: false,
        /** Drawn anew at the start of each lag. */
        lagShare: 0,
        nextDigestAt: now + antiEntropyMs,
        /** Time of the first digest of each new link. */
        firstDigests: new Map<string, number>(),
    };
}

export type Context = ReturnType<typeof createContext>;

/** The record of this host. */
export function ownRecord({ board }: Context): HostRecord {
    return board.read("membership").self;
}

export function allRecords(context: Context): HostRecord[] {
    return [ownRecord(context), ...context.table.records.values()];
}

export function watermarkOf({ board, raised }: Context, host: string): number {
    return raised.get(host) ?? board.read("membership").watermarks.get(host) ?? 0;
}

export function raiseWatermark(context: Context, host: string, version: number): void {
    if (version > watermarkOf(context, host)) {
        context.raised.set(host, version);
    }
}

export function noteAnnounced(context: Context, version: number): void {
    context.announcedVersion = Math.max(context.announcedVersion, version);
}

/** Most records in one message; at about 150 bytes each, one message takes 150 KB. */
const recordsPerMessage = 1_000;

export function sendRecords(
    context: Context,
    to: OutgoingMessage["to"],
    records: readonly HostRecord[],
): void {
    for (let at = 0; at < records.length; at += recordsPerMessage) {
        const part = records.slice(at, at + recordsPerMessage);
        send(context, { to, message: { kind: MessageKind.Records, records: part } });
    }
}

export function send({ outbox }: Context, outgoing: OutgoingMessage): void {
    outbox.append(outgoing);
}

export function note(
    { events }: Context,
    name: string,
    level: EventLevel,
    fields: Record<string, string | number | undefined>,
): void {
    events.append({ name, level, fields });
}
