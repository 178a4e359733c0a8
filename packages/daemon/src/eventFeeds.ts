import type { FeedName } from "@tanagertray/core";
import type { Sections } from "./board.js";

/** Feeds of events. The log writes their entries, and the metrics count them. */
export const eventFeeds = [
    "peerEvents",
    "membershipEvents",
    "configurationEvents",
    "readinessEvents",
    "platformEvents",
    "callEvents",
    "backendServerEvents",
    "departureRowEvents",
    "headDutyEvents",
    "headReadingEvents",
    "operatorEvents",
    "traceEvents",
    "daemonEvents",
] as const satisfies readonly FeedName<Sections>[];
