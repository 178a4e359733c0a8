import { EventLevel, type Event } from "@tanagertray/core";
import winston from "winston";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";
import { eventFeeds } from "../eventFeeds.js";

/** Limit of the lines per event name and period. Further lines are omitted and counted. */
const maxLinesPerPeriod = 10;
/** The same limit for events of single calls. Allows 20 lines a second, since each line explains one failed request. */
const maxCallEventLinesPerPeriod = 200;
const callEvents: ReadonlySet<string> = new Set([
    "call.refused",
    "call.unserved",
    "call.attemptFailed",
    "call.backendRefused",
    "call.callerLeft",
    "call.serverError",
    "call.unreachable",
    "call.hopRefused",
    "call.answerRejected",
]);
const levels: Readonly<Record<string, number>> = { error: 0, warn: 1, info: 2, debug: 3 };
/** Period of the line limits, in milliseconds. */
const limitPeriodMs = 10_000;
/** Number of event names with a line limit of their own; further names share one limit. */
const maxLimitedNames = 512;
/** Strings in fields are truncated to this length. */
const maxFieldCharacters = 2_048;

/** Events without a line limit, because the settings request every one of them. */
const unlimitedEvents: ReadonlySet<string> = new Set(["trace.span"]);

interface LineCounts {
    lines: number;
    omitted: number;
}

export interface LogOptions {
    /** @default standard output */
    output?: NodeJS.WritableStream;
}

/** Writes events, and changes of the watched sections, as JSON lines. */
export function createLog(board: Board, options: LogOptions = {}): Closeable {
    const { host, log } = board.read("settings");
    const logger = winston.createLogger({
        level: log.level,
        levels,
        format: winston.format.printf(({ level, message, fields }) => {
            const commonFields = { time: new Date().toISOString(), level, event: message, host };
            return JSON.stringify({ ...commonFields, ...(fields as Event["fields"]), ...commonFields });
        }),
        transports: [
            options.output === undefined
                ? new winston.transports.Console()
                : new winston.transports.Stream({ stream: options.output }),
        ],
    });
    const lineCounts = new Map<string, LineCounts>();

    function writeLine({ name, level, fields }: Event): void {
        const truncatedFields = Object.entries(fields).map(([key, value]) => [key, truncate(value)]);
        logger.log({ level, message: name, fields: Object.fromEntries(truncatedFields) });
    }

    const maxLevel = levels[log.level] ?? 0;

    function logEvent(event: Event): void {
        if ((levels[event.level] ?? 0) > maxLevel) {
            return;
        }
        const name = lineCounts.has(event.name) || lineCounts.size < maxLimitedNames ? event.name : "other";
        const counts = lineCounts.get(name) ?? { lines: 0, omitted: 0 };
        lineCounts.set(name, counts);
        const maxLines = callEvents.has(event.name) ? maxCallEventLinesPerPeriod : maxLinesPerPeriod;
        if (unlimitedEvents.has(event.name) || counts.lines < maxLines) {
            counts.lines += 1;
            writeLine(event);
        } else {
            counts.omitted += 1;
        }
    }

    const timer = setInterval(startLimitPeriod, limitPeriodMs);

    function startLimitPeriod(): void {
        for (const [name, { omitted }] of lineCounts) {
            if (omitted > 0) {
                writeLine({
                    name: "log.omitted",
                    level: EventLevel.Warn,
                    fields: { omittedEvent: name, omitted },
                });
            }
        }
        lineCounts.clear();
    }

    const subscriptions = [
        ...eventFeeds.map(feed => board.follow(feed, logEvent)),
        ...watchedSections.map(({ section, describe }) => logChanges(board, section, describe, logEvent)),
    ];
    logEvent({ name: "daemon.started", level: EventLevel.Info, fields: { pid: process.pid } });
    return {
        async close() {
            clearInterval(timer);
            startLimitPeriod();
            writeLine({ name: "daemon.stopped", level: EventLevel.Info, fields: {} });
            subscriptions.forEach(subscription => subscription.close());
            await new Promise<void>(resolve => logger.once("finish", resolve).end());
        },
    };
}

type WatchedSection = "configuration" | "platformState";

/** Sections whose changes are logged, each with a function that describes its content as events. */
const watchedSections: readonly {
    readonly section: WatchedSection;
    readonly describe: (board: Board) => readonly Event[];
}[] = [
    { section: "configuration", describe: describeConfiguration },
    { section: "platformState", describe: describePlatform },
];

/** Logs those events of a section whose fields differ from the ones logged last. */
function logChanges(
    board: Board,
    section: WatchedSection,
    describe: (board: Board) => readonly Event[],
    logEvent: (event: Event) => void,
) {
    const lastFields = new Map<string, string>();
    return board.observe([section], () => {
        for (const event of describe(board)) {
            const serializedFields = JSON.stringify(event.fields);
            if (lastFields.get(event.name) !== serializedFields) {
                lastFields.set(event.name, serializedFields);
                logEvent(event);
            }
        }
    });
}

function describeConfiguration(board: Board): readonly Event[] {
    const { held, rejected } = board.read("configuration");
    const version = held?.manifest.version ?? 0;
    const changed = { name: "configuration.changed", level: EventLevel.Info, fields: { version } };
    return rejected === undefined
        ? [changed]
        : [changed, { name: "configuration.rejected", level: EventLevel.Error, fields: { ...rejected } }];
}

function describePlatform(board: Board): readonly Event[] {
    const { reachable, head } = board.read("platformState");
    const level = reachable ? EventLevel.Info : EventLevel.Warn;
    return [
        { name: "platform.reachability", level, fields: { reachable } },
        { name: "platform.head", level: EventLevel.Debug, fields: { version: head?.version ?? 0 } },
    ];
}

function truncate(value: string | number | boolean | undefined): string | number | boolean | undefined {
    return typeof value === "string" && value.length > maxFieldCharacters
        ? `${value.slice(0, maxFieldCharacters)}…`
        : value;
}
