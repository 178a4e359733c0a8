import {
    affectsTopology,
    chooseRepairBuckets,
    compareRecords,
    computeDigest,
    detectFailures,
    EventLevel,
    expireTombstones,
    HostState,
    isLive,
    mergeRecords,
    MessageKind,
    recordsInBuckets,
    refute,
    withNextIncarnation,
    type HostRecord,
    type IncomingMessage,
    type PeerMessage,
} from "@tanagertray/core";
import type { Board, PeerLink } from "../board.js";
import type { Closeable } from "../closeable.js";
import { currentVersion } from "./advertisement.js";
import {
    allRecords,
    antiEntropyPeriodMs,
    createMembershipContext,
    ownRecord,
    raiseAnnouncedVersion,
    raiseWatermark,
    reportEvent,
    send,
    sendRecords,
    watermarkOf,
    type MembershipContext,
} from "./membershipContext.js";
import { addNews, sendNewsIfDue } from "./news.js";
import { pendingFullEvents, repairLimitedEvents, tombstonesFullEvents } from "./membershipLimitEvents.js";
import { peerDeparturesOf } from "./peerDepartures.js";
import { publish, publishIfDue } from "./publishing.js";

/** Delays of the first digest on a new link, in milliseconds. */
const firstDigestDelays = {
    /** One side knows nothing of the failure domain of the other, or of any. */
    unknownDomain: { minMs: 0, jitterMs: 300 },
    /** Both sides learn of changes over other links too. By then, news of a common start has arrived there. */
    knownDomain: { minMs: 2_000, jitterMs: 2_000 },
} as const;
/** Pause of this process, in milliseconds, after which the silence of other hosts no longer indicates a failure. */
const pauseThresholdMs = 3_000;
/** Received records queued until the next tick. Anti-entropy brings the dropped ones again. */
const maxPendingRecords = 65_536;

export interface MembershipOptions {
    /** @default Math.random */
    readonly random?: () => number;
}

/** Maintains the host records: publishes the record of this host, merges those of others and detects failures. */
export function createMembership(board: Board, options: MembershipOptions = {}): Closeable {
    const context = createMembershipContext(board, options);
    const subscriptions = [
        board.follow("peerInbox", incoming =>
            inboxHandlers[incoming.message.kind]?.(context, incoming as never),
        ),
        board.observe(["peerLinks"], () => synchronizeNewLinks(context)),
        board.observe(["clock"], () => tick(context)),
        // Publishes the shutdown immediately, before the adapters close.
        board.observe(["shutdown"], () => publishIfDue(context)),
    ];
    return { close: () => subscriptions.forEach(subscription => subscription.close()) };
}

type InboxHandler<K extends MessageKind> = (
    context: MembershipContext,
    incoming: IncomingMessage & { message: Extract<PeerMessage, { kind: K }> },
) => void;

/** Message kinds without an entry are handled by other controllers. */
const inboxHandlers: { [K in MessageKind]?: InboxHandler<K> } = {
    [MessageKind.Records]: queueRecords,
    [MessageKind.Digest]: answerDigest,
    [MessageKind.RecordRequest]: (context, { from, message }) => sendBuckets(context, from, message.buckets),
    [MessageKind.Heartbeat]: (context, { from, message }) => {
        raiseWatermark(context, from, message.version);
        raiseAnnouncedVersion(context, message.version);
    },
    [MessageKind.Announce]: (context, { message }) => raiseAnnouncedVersion(context, message.version),
    [MessageKind.WatermarkRequest]: answerWatermarkRequest,
    [MessageKind.Watermark]: (context, { message }) => {
        const self = ownRecord(context);
        if (message.host === self.host && message.incarnation > self.incarnation) {
            publish(context, withNextIncarnation(self, message.incarnation));
        }
    },
};

function queueRecords(
    context: MembershipContext,
    { from, message }: Parameters<InboxHandler<"records">>[1],
): void {
    const queued = context.pendingRecords.get(from) ?? [];
    const records = message.records.slice(0, maxPendingRecords - context.pendingRecordCount);
    pendingFullEvents(from, message.records.length - records.length).forEach(event =>
        context.events.append(event),
    );
    queued.push(...records);
    context.pendingRecordCount += records.length;
    context.pendingRecords.set(from, queued);
}

function answerDigest(
    context: MembershipContext,
    { from, message }: Parameters<InboxHandler<"digest">>[1],
): void {
    const records = allRecords(context);
    const digest = computeDigest(records);
    const buckets = chooseRepairBuckets(digest, message.buckets, records.length, context.random);
    const digests = { local: digest, remote: message.buckets };
    repairLimitedEvents(from, digests, buckets.length).forEach(event => context.events.append(event));
    if (buckets.length > 0) {
        sendBuckets(context, from, buckets);
        send(context, { to: { host: from }, message: { kind: MessageKind.RecordRequest, buckets } });
    }
}

function answerWatermarkRequest(
    context: MembershipContext,
    { from, message: { host } }: Parameters<InboxHandler<"watermarkRequest">>[1],
): void {
    const message: PeerMessage = {
        kind: MessageKind.Watermark,
        host,
        version: watermarkOf(context, host),
        incarnation: context.table.records.get(host)?.incarnation ?? 0,
        ...peerDeparturesOf(context.board, host),
        held: currentVersion(context.board),
    };
    send(context, { to: { host: from }, message });
}

function sendBuckets(context: MembershipContext, host: string, buckets: readonly number[]): void {
    sendRecords(context, { host }, recordsInBuckets(allRecords(context), buckets));
}

/**
 * Sends the record of this host on each new link, and schedules a digest from one side after a random delay.
 * Without the digest, records that were spread before the link opened would wait for a round of anti-entropy.
 */
function synchronizeNewLinks(context: MembershipContext): void {
    const { board, firstDigestTimes, knownLinks, random } = context;
    const links = board.read("peerLinks");
    const { now } = board.read("clock");
    const self = ownRecord(context);
    context.knownLinks = new Set(links.keys());
    for (const [host, link] of links) {
        if (knownLinks.has(host)) {
            continue;
        }
        sendRecords(context, { host }, [self]);
        const { minMs, jitterMs } =
            firstDigestDelays[isDomainKnown(context, link) ? "knownDomain" : "unknownDomain"];
        if (self.host < host || minMs === 0) {
            firstDigestTimes.set(host, now + minMs + random() * jitterMs);
        }
    }
}

/** Whether this host knows another host of the failure domain of the linked one. */
function isDomainKnown(
    { table }: MembershipContext,
    { host, failureDomain }: Pick<PeerLink, "host" | "failureDomain">,
): boolean {
    for (const record of table.records.values()) {
        if (record.failureDomain === failureDomain && record.host !== host && isLive(record)) {
            return true;
        }
    }
    return false;
}

function tick(context: MembershipContext): void {
    const { now, pausedForMs } = context.board.read("clock");
    if (pausedForMs > pauseThresholdMs) {
        restartFailureDetection(context, now);
    }
    const before = context.table;
    mergePending(context, now);
    detectHostFailures(context, now);
    const withExpired = context.table;
    context.table = expireTombstones(withExpired, now);
    tombstonesFullEvents(withExpired, context.table, now).forEach(event => context.events.append(event));
    if (context.table !== before || context.raisedWatermarks.size > 0) {
        writeMembership(context, before.records);
    }
    publishIfDue(context);
    sendNewsIfDue(context);
    sendDueDigests(context, now);
}

/** Restarts every timeout, because refutations and links may have come and gone unnoticed during a pause. */
function restartFailureDetection(context: MembershipContext, now: number): void {
    const { records, since } = context.table;
    context.absences = new Map();
    const suspects = [...since].map(([host, at]): [string, number] => [
        host,
        records.get(host)?.state === HostState.Suspect ? now : at,
    ]);
    context.table = { records, since: new Map(suspects) };
}

function mergePending(context: MembershipContext, now: number): void {
    const received = context.pendingRecords;
    context.pendingRecords = new Map();
    context.pendingRecordCount = 0;
    for (const [from, records] of received) {
        const self = ownRecord(context);
        const ofSelf = records.filter(record => record.host === self.host);
        const latestOfSelf = ofSelf.reduce<HostRecord | undefined>(later, undefined);
        const refutation = latestOfSelf === undefined ? undefined : refute(self, latestOfSelf);
        if (refutation !== undefined) {
            reportEvent(context, "membership.refuted", EventLevel.Warn, { state: latestOfSelf?.state, from });
            publish(context, refutation);
        }
        const others = records.filter(record => record.host !== self.host);
        const { corrections } = merge(context, others, now);
        sendRecords(context, { host: from }, corrections);
        const receivedFrom = context.receivedSinceNews.get(from) ?? new Map<string, HostRecord>();
        others.forEach(record => receivedFrom.set(record.host, record));
        context.receivedSinceNews.set(from, receivedFrom);
    }
}

function later(known: HostRecord | undefined, record: HostRecord): HostRecord {
    return known === undefined || compareRecords(record, known) > 0 ? record : known;
}

function merge(context: MembershipContext, records: readonly HostRecord[], now: number) {
    const before = context.table.records;
    const result = mergeRecords(context.table, records, now);
    context.table = result.table;
    context.compositionChanged ||= affectsTopology(before, result.changed);
    for (const record of result.changed) {
        raiseWatermark(context, record.host, record.version);
        addNews(context, before.get(record.host), record);
        const was = before.get(record.host)?.state;
        if (was !== record.state) {
            const { host, state, incarnation, counter } = record;
            reportEvent(context, "membership.state", EventLevel.Info, {
                host,
                was,
                state,
                incarnation,
                counter,
            });
        }
    }
    if (result.dropped > 0) {
        reportEvent(context, "membership.tableFull", EventLevel.Error, { dropped: result.dropped });
    }
    return result;
}

function detectHostFailures(context: MembershipContext, now: number): void {
    const { board } = context;
    const self = ownRecord(context);
    if (self.state === HostState.Left) {
        return;
    }
    const { records, linkOutages: absences } = detectFailures({
        self,
        table: context.table,
        neighbours: board.read("topology").neighbours.map(({ host }) => host),
        linkedHosts: board.read("peerLinks"),
        linkOutages: context.absences,
        now,
    });
    context.absences = absences;
    merge(context, records, now);
}

function sendDueDigests(context: MembershipContext, now: number): void {
    const { board, firstDigestTimes, random } = context;
    const linkedHosts = [...board.read("peerLinks").keys()];
    const due = new Set([...firstDigestTimes].filter(([, at]) => now >= at).map(([host]) => host));
    due.forEach(host => firstDigestTimes.delete(host));
    if (now >= context.nextDigestAt) {
        context.nextDigestAt = now + antiEntropyPeriodMs;
        due.add(linkedHosts[Math.floor(random() * linkedHosts.length)] ?? "");
    }
    const recipients = linkedHosts.filter(host => due.has(host));
    if (recipients.length > 0) {
        const buckets = computeDigest(allRecords(context));
        const message = { kind: MessageKind.Digest, buckets };
        recipients.forEach(host => send(context, { to: { host }, message }));
    }
}

function writeMembership(context: MembershipContext, before: ReadonlyMap<string, HostRecord>): void {
    const { compositionChanged, raisedWatermarks } = context;
    const { records } = context.table;
    const changes = new Map<string, number | undefined>(raisedWatermarks);
    if (records.size < before.size) {
        // A watermark is removed together with the tombstone of its host.
        [...before.keys()].filter(host => !records.has(host)).forEach(host => changes.set(host, undefined));
    }
    context.raisedWatermarks = new Map();
    context.compositionChanged = false;
    context.membership.update(({ self, compositionChanges, watermarks }) => ({
        self,
        records,
        watermarks: changes.size === 0 ? watermarks : watermarks.withChanges(changes),
        compositionChanges: compositionChanges + (compositionChanged ? 1 : 0),
    }));
}
