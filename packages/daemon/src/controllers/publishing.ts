import { isPublicationDue, type HostRecord } from "@tanagertray/core";
import { createAdvertisement } from "./advertisement.js";
import { ownRecord, type MembershipContext } from "./membershipContext.js";
import { addNews, sendNewsIfDue } from "./news.js";

/** Publishes the record of this host when its advertisement changed or lags behind the announced version. */
export function publishIfDue(context: MembershipContext): void {
    const { board } = context;
    const { now } = board.read("clock");
    const self = ownRecord(context);
    const advertisement = createAdvertisement(context.board);
    const lagging = context.announcedVersion > advertisement.version;
    if (lagging && context.laggingSince === undefined) {
        context.lagShare = context.random();
    }
    context.laggingSince = lagging ? (context.laggingSince ?? now) : undefined;
    context.lagPublished &&= lagging;
    const { laggingSince, lagPublished, lagShare, publishedAt } = context;
    const hosts = context.table.records.size + 1;
    const lagState = { laggingSince, lagPublished, lagShare };
    if (isPublicationDue({ self, advertisement, publishedAt, hosts, ...lagState, now })) {
        context.lagPublished = lagging;
        publish(context, { ...self, counter: self.counter + 1 });
    }
}

/** Publishes a record of this host with its current advertisement. */
export function publish(context: MembershipContext, record: HostRecord): void {
    context.publishedAt = context.board.read("clock").now;
    const { host, failureDomain, region, incarnation, counter, peerAddress } = record;
    const identity = { host, failureDomain, region, incarnation, counter, peerAddress };
    const before = ownRecord(context);
    const self = { ...identity, ...createAdvertisement(context.board) };
    context.membership.update(membership => ({ ...membership, self }));
    addNews(context, before, self);
    sendNewsIfDue(context);
}
