import {
    chooseRepairBuckets,
    compareRecords,
    computeDigest,
    detectFailures,
    EventLevel,
    expireTombstones,
    affectsTopology,
    HostState,
    mergeRecords,
    MessageKind,
    planRelay,
    recordsInBuckets,
    refute,
    withNextIncarnation,
    type HostRecord,
    type IncomingMessage,
    type PeerMessage,
} from "@tanagertray/core";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";
import { heldVersion } from "./advertisement.js";
import { rememberedOf } from "./departureMemory.js";
import {
    allRecords,
    antiEntropyMs,
    createContext,
    note,
    noteAnnounced,
    ownRecord,
    raiseWatermark,
    send,
    sendRecords,
    watermarkOf,
    type Context,
} from "./membershipContext.js";
import { notePendingFull, noteRepairLimited, noteTombstonesFull } from "./membershipLimits.js";
import { publish, publishIfDue } from "./publishing.js";

/** Spread of the first digest after a new link, so that joining herds do not ask at once, in milliseconds. */
const joinJitterMs = 1_000;
/** Gap in the clock after which the silence of others proves nothing, in milliseconds. */
const pauseMs = 3_000;
/** Received records that wait for the next tick; anti-entropy repairs what is dropped. */
const maxPendingRecords = 65_536;

export interface MembershipOptions {
    /** @default Math.random */
    readonly random?: () => number;
}

/** Keeps the host records: publishes that of this host, merges those of others and detects failures. */
export function createMembership(board: Board, options: MembershipOptions = {}): Closeable {
    const context = createContext(board, options);
    const subscriptions = [
        board.follow("peerInbox", incoming =>
            inboxHandlers[incoming.message.kind]?.(context, incoming as never),
        ),
        board.observe(["peerLinks"], () => greetNewLinks(context)),
        board.observe(["clock"], () => tick(context)),
        // A host that leaves says so at once; its adapters close soon.
        board.observe(["shutdown"], () => publishIfDue(context)),
    ];
    return { close: () => subscriptions.forEach(subscription => subscription.close()) };
}

type InboxHandler<K extends MessageKind> = (
    context: Context,
    incoming: IncomingMessage & { message: Extract<PeerMessage, { kind: K }> },
) => void;

/** Other kinds of message belong to other controllers. */
const inboxHandlers: { [K in MessageKind]?: InboxHandler<K> } = {
    [MessageKind.Records]: takeRecords,
    [MessageKind.Digest]: answerDigest,
    [MessageKind.RecordRequest]: (context, { from, message }) => sendBuckets(context, from, message.buckets),
    [MessageKind.Heartbeat]: (context, { from, message }) => {
        raiseWatermark(context, from, message.version);
        noteAnnounced(context, message.version);
    },
    [MessageKind.Announce]: (context, { message }) => noteAnnounced(context, message.version),
    [MessageKind.WatermarkRequest]: answerWatermarkRequest,
    [MessageKind.Watermark]: (context, { message }) => {
        const self = ownRecord(context);
        if (message.host === self.host && message.incarnation > self.incarnation) {
            publish(context, withNextIncarnation(self, message.incarnation));
        }
    },
};

function takeRecords(context: Context, { from, message }: Parameters<InboxHandler<"records">>[1]): void {
    const waiting = context.pending.get(from) ?? [];
    const records = message.records.slice(0, maxPendingRecords - context.pendingCount);
    notePendingFull(from, message.records.length - records.length).forEach(event =>
        context.events.append(event),
    );
    waiting.push(...records);
    context.pendingCount += records.length;
    context.pending.set(from, waiting);
}

function answerDigest(context: Context, { from, message }: Parameters<InboxHandler<"digest">>[1]): void {
    const records = allRecords(context);
    const digest = computeDigest(records);
    const buckets = chooseRepairBuckets(digest, message.buckets, records.length, context.random);
    const digests = { ours: digest, theirs: message.buckets };
    noteRepairLimited(from, digests, buckets.length).forEach(event => context.events.append(event));
    if (buckets.length > 0) {
        sendBuckets(context, from, buckets);
        send(context, { to: { host: from }, message: { kind: MessageKind.RecordRequest, buckets } });
    }
}

function answerWatermarkRequest(
    context: Context,
    { from, message: { host } }: Parameters<InboxHandler<"watermarkRequest">>[1],
): void {
    const message: PeerMessage = {
        kind: MessageKind.Watermark,
        host,
        version: watermarkOf(context, host),
        incarnation: context.table.records.get(host)?.incarnation ?? 0,
        ...rememberedOf(context.board, host),
        held: heldVersion(context.board),
    };
    send(context, { to: { host: from }, message });
}

function sendBuckets(context: Context, host: string, buckets: readonly number[]): void {
    sendRecords(context, { host }, recordsInBuckets(allRecords(context), buckets));
}

/**
 * A new link gets the record of this host at once, and a digest from one of its sides after a jitter: records that were
 * spread before the link opened would otherwise wait for a round of anti-entropy.
 */
function greetNewLinks(context: Context): void {
    const { board, firstDigests, greeted, random } = context;
    const links = board.read("peerLinks");
    const { now } = board.read("clock");
    const self = ownRecord(context);
    context.greeted = new Set(links.keys());
    for (const host of links.keys()) {
        if (greeted.has(host)) {
            continue;
        }
        sendRecords(context, { host }, [self]);
        if (self.host < host) {
            firstDigests.set(host, now + random() * joinJitterMs);
        }
    }
}

function tick(context: Context): void {
    const { now, pausedForMs } = context.board.read("clock");
    if (pausedForMs > pauseMs) {
        forgetSilence(context, now);
    }
    const before = context.table;
    mergePending(context, now);
    detect(context, now);
    const unexpired = context.table;
    context.table = expireTombstones(unexpired, now);
    noteTombstonesFull(unexpired, context.table, now).forEach(event => context.events.append(event));
    if (context.table !== before || context.raised.size > 0) {
        writeMembership(context, before.records);
    }
    publishIfDue(context);
    sendDueDigests(context, now);
}

/** After a pause, refutations and links may have come and gone unseen: every wait starts anew. */
function forgetSilence(context: Context, now: number): void {
    const { records, since } = context.table;
    context.absences = new Map();
    const suspects = [...since].map(([host, at]): [string, number] => [
        host,
        records.get(host)?.state === HostState.Suspect ? now : at,
    ]);
    context.table = { records, since: new Map(suspects) };
}

function mergePending(context: Context, now: number): void {
    const received = context.pending;
    const news = new Map<string, HostRecord>();
    context.pending = new Map();
    context.pendingCount = 0;
    for (const [from, records] of received) {
        const self = ownRecord(context);
        const ofSelf = records.filter(record => record.host === self.host);
        const heard = ofSelf.reduce<HostRecord | undefined>(newer, undefined);
        const refutation = heard === undefined ? undefined : refute(self, heard);
        if (refutation !== undefined) {
            note(context, "membership.refuted", EventLevel.Warn, { state: heard?.state, from });
            publish(context, refutation);
        }
        const others = records.filter(record => record.host !== self.host);
        const { changed, corrections } = merge(context, others, now);
        changed.forEach(record => news.set(record.host, record));
        sendRecords(context, { host: from }, corrections);
    }
    const { toSenders, toOthers } = planRelay({ received, updates: news });
    sendRecords(context, { allBut: [...received.keys()] }, toOthers);
    toSenders.forEach((records, host) => sendRecords(context, { host }, records));
}

function newer(known: HostRecord | undefined, record: HostRecord): HostRecord {
    return known === undefined || compareRecords(record, known) > 0 ? record : known;
}

function merge(context: Context, records: readonly HostRecord[], now: number) {
    const before = context.table.records;
    const result = mergeRecords(context.table, records, now);
    context.table = result.table;
    context.moved ||= affectsTopology(before, result.changed);
    for (const record of result.changed) {
        raiseWatermark(context, record.host, record.version);
        const was = before.get(record.host)?.state;
        if (was !== record.state) {
            const { host, state, incarnation, counter } = record;
            note(context, "membership.state", EventLevel.Info, { host, was, state, incarnation, counter });
        }
    }
    if (result.dropped > 0) {
        note(context, "membership.tableFull", EventLevel.Error, { dropped: result.dropped });
    }
    return result;
}

function detect(context: Context, now: number): void {
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
    const { changed } = merge(context, records, now);
    sendRecords(context, { allBut: [] }, changed);
}

function sendDueDigests(context: Context, now: number): void {
    const { board, firstDigests, random } = context;
    const hosts = [...board.read("peerLinks").keys()];
    const due = new Set([...firstDigests].filter(([, at]) => now >= at).map(([host]) => host));
    due.forEach(host => firstDigests.delete(host));
    if (now >= context.nextDigestAt) {
        context.nextDigestAt = now + antiEntropyMs;
        due.add(hosts[Math.floor(random() * hosts.length)] ?? "");
    }
    const linked = hosts.filter(host => due.has(host));
    if (linked.length > 0) {
        const buckets = computeDigest(allRecords(context));
        const message = { kind: MessageKind.Digest, buckets };
        linked.forEach(host => send(context, { to: { host }, message }));
    }
}

function writeMembership(context: Context, before: ReadonlyMap<string, HostRecord>): void {
    const { moved, raised } = context;
    const { records } = context.table;
    const changes = new Map<string, number | undefined>(raised);
    if (records.size < before.size) {
        // Watermarks are kept as long as the tombstone of their host.
        [...before.keys()].filter(host => !records.has(host)).forEach(host => changes.set(host, undefined));
    }
    context.raised = new Map();
    context.moved = false;
    context.membership.update(({ self, composition, watermarks }) => ({
        self,
        records,
        watermarks: changes.size === 0 ? watermarks : watermarks.withChanges(changes),
        composition: composition + (moved ? 1 : 0),
    }));
}
