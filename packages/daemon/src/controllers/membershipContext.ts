import type { EventLevel } from "@tanagertray/core";
import {
    emptyHostTable,
    MessageKind,
    NewsUrgency,
    type HostRecord,
    type LinkOutages,
    type OutgoingMessage,
} from "@tanagertray/core";
import type { Board } from "../board.js";
import type { MembershipOptions } from "./membership.js";

/** Period of anti-entropy with one randomly chosen linked host, in milliseconds. */
export const antiEntropyPeriodMs = 10_000;

/** Internal state of the membership controller, shared by its modules. */
export function createMembershipContext(board: Board, { random = Math.random }: MembershipOptions) {
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
        pendingRecords: new Map<string, HostRecord[]>(),
        pendingRecordCount: 0,
        /** Changed records that were not passed on yet, by host. */
        news: new Map<string, HostRecord>(),
        /** Latest record of each host that was received since news was last passed on, by sender. */
        receivedSinceNews: new Map<string, Map<string, HostRecord>>(),
        /** Highest urgency of the pending news. */
        newsUrgency: NewsUrgency.Later as NewsUrgency,
        newsSentAt: 0,
        /** Watermarks that rose since the membership was last written to the blackboard. */
        raisedWatermarks: new Map<string, number>(),
        /** Whether a host joined, left or moved since the membership was last written. */
        compositionChanged: false,
        /** Hosts whose links were already sent the record of this host. */
        knownLinks: new Set<string>(),
        publishedAt: now,
        /** Highest version that any peer announced. */
        announcedVersion: 0,
        /** Time since which this host has an older version than the announced one. */
        laggingSince: undefined as number | undefined,
        /** Whether a record was published during the current lag. */
        lagPublished: false,
        /** Random share of the publication delay, drawn at the start of each lag. */
        lagShare: 0,
        nextDigestAt: now + antiEntropyPeriodMs,
        /** Time at which the first digest is due, by host of a new link. */
        firstDigestTimes: new Map<string, number>(),
    };
}

export type MembershipContext = ReturnType<typeof createMembershipContext>;

/** Returns the record of this host. */
export function ownRecord({ board }: MembershipContext): HostRecord {
    return board.read("membership").self;
}

export function allRecords(context: MembershipContext): HostRecord[] {
    return [ownRecord(context), ...context.table.records.values()];
}

export function watermarkOf({ board, raisedWatermarks }: MembershipContext, host: string): number {
    return raisedWatermarks.get(host) ?? board.read("membership").watermarks.get(host) ?? 0;
}

export function raiseWatermark(context: MembershipContext, host: string, version: number): void {
    if (version > watermarkOf(context, host)) {
        context.raisedWatermarks.set(host, version);
    }
}

export function raiseAnnouncedVersion(context: MembershipContext, version: number): void {
    context.announcedVersion = Math.max(context.announcedVersion, version);
}

/** At about 150 bytes a record, one message takes at most 150 KB. */
const maxRecordsPerMessage = 1_000;

export function sendRecords(
    context: MembershipContext,
    to: OutgoingMessage["to"],
    records: readonly HostRecord[],
): void {
    for (let at = 0; at < records.length; at += maxRecordsPerMessage) {
        const part = records.slice(at, at + maxRecordsPerMessage);
        send(context, { to, message: { kind: MessageKind.Records, records: part } });
    }
}

export function send({ outbox }: MembershipContext, outgoing: OutgoingMessage): void {
    outbox.append(outgoing);
}

export function reportEvent(
    { events }: MembershipContext,
    name: string,
    level: EventLevel,
    fields: Record<string, string | number | undefined>,
): void {
    events.append({ name, level, fields });
}
