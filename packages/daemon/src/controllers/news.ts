import {
    isNewsDue,
    newsIntervalMs,
    NewsUrgency,
    planRelay,
    urgencyOf,
    type HostRecord,
} from "@tanagertray/core";
import { sendRecords, type MembershipContext } from "./membershipContext.js";

/** Adds a changed record to the news for the linked hosts. A newer record of a host replaces an older one. */
export function addNews(
    context: MembershipContext,
    before: HostRecord | undefined,
    record: HostRecord,
): void {
    const urgency = urgencyOf(before, record);
    if (context.news.size === 0 || newsIntervalMs[urgency] < newsIntervalMs[context.newsUrgency]) {
        context.newsUrgency = urgency;
    }
    context.news.set(record.host, record);
}

/** Passes the pending news on, without the records that a linked host sent itself. */
export function sendNewsIfDue(context: MembershipContext): void {
    const { board, news, newsUrgency: urgency, newsSentAt: lastSentAt } = context;
    const { now } = board.read("clock");
    if (news.size === 0) {
        context.receivedSinceNews = new Map();
        return;
    }
    if (!isNewsDue({ urgency, lastSentAt, now })) {
        return;
    }
    const received = new Map(
        [...context.receivedSinceNews].map(([from, records]) => [from, [...records.values()]]),
    );
    context.news = new Map();
    context.receivedSinceNews = new Map();
    context.newsUrgency = NewsUrgency.Later;
    context.newsSentAt = now;
    const { toSenders, toOthers } = planRelay({ received, updates: news });
    sendRecords(context, { allBut: [...received.keys()] }, toOthers);
    toSenders.forEach((records, host) => sendRecords(context, { host }, records));
}
