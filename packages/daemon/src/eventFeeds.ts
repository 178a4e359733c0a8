import type { FeedName } from "@tanagertray/core";
import type { Sections } from "./board.js";

/** Feeds of events, which the log and the counters follow. */
export const eventFeeds = [
    "peerEvents",
    "membershipEvents",
    "configurationEvents",
    "readinessEvents",
    "platformEvents",
    "callEvents",
    "backendServerEvents",
    "operatorEvents",
    "traceEvents",
    "daemonEvents",
] as const satisfies readonly FeedName<Sections>[];
