import { EventLevel, type Event } from "@tanagertray/core";
import winston from "winston";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";
import { eventFeeds } from "../eventFeeds.js";

/** Lines of one event name in a period; further ones are counted and left out. */
const maxLinesPerPeriod = 10;
/** The same for decisions on single calls: 20 a second, each of which explains one failed request. */
const maxCallLinesPerPeriod = 200;
const callEvents: ReadonlySet<string> = new Set([
    "call.refused",
    "call.unserved",
    "call.attemptFailed",
    "call.backendRefused",
    "call.serverError",
    "call.unreachable",
    "call.hopRefused",
    "call.answerRejected",
]);
const levels: Readonly<Record<string, number>> = { error: 0, warn: 1, info: 2, debug: 3 };
/** Period of the limit of lines, in milliseconds. */
const limitPeriodMs = 10_000;
/** Event names whose lines are limited apart; further ones share one limit. */
const maxLimitedNames = 512;
/** Longest text of a field; longer ones are cut. */
const maxFieldLength = 2_048;

/** Events that the settings ask for one by one. */
const unlimitedEvents: ReadonlySet<string> = new Set(["trace.span"]);

interface NameLimit {
    lines: number;
    omitted: number;
}

export interface LogOptions {
    /** @default standard output */
    output?: NodeJS.WritableStream;
}

/** Writes events and changes of a few sections as JSON lines. */
export function createLog(board: Board, options: LogOptions = {}): Closeable {
    const { host, log } = board.read("settings");
    const logger = winston.createLogger({
        level: log.level,
        levels,
        format: winston.format.printf(({ level, message, fields }) => {
            const base = { time: new Date().toISOString(), level, event: message, host };
            return JSON.stringify({ ...base, ...(fields as Event["fields"]), ...base });
        }),
        transports: [
            options.output === undefined
                ? new winston.transports.Console()
                : new winston.transports.Stream({ stream: options.output }),
        ],
    });
    const limits = new Map<string, NameLimit>();

    function write({ name, level, fields }: Event): void {
        const shortened = Object.entries(fields).map(([key, value]) => [key, shorten(value)]);
        logger.log({ level, message: name, fields: Object.fromEntries(shortened) });
    }

    const shownLevel = levels[log.level] ?? 0;

    function take(event: Event): void {
        if ((levels[event.level] ?? 0) > shownLevel) {
            return;
        }
        const name = limits.has(event.name) || limits.size < maxLimitedNames ? event.name : "other";
        const limit = limits.get(name) ?? { lines: 0, omitted: 0 };
        limits.set(name, limit);
        const maxLines = callEvents.has(event.name) ? maxCallLinesPerPeriod : maxLinesPerPeriod;
        if (unlimitedEvents.has(event.name) || limit.lines < maxLines) {
            limit.lines += 1;
            write(event);
        } else {
            limit.omitted += 1;
        }
    }

    const timer = setInterval(startPeriod, limitPeriodMs);

    function startPeriod(): void {
        for (const [name, { omitted }] of limits) {
            if (omitted > 0) {
                write({
                    name: "log.omitted",
                    level: EventLevel.Warn,
                    fields: { omittedEvent: name, omitted },
                });
            }
        }
        limits.clear();
    }

    const subscriptions = [
        ...eventFeeds.map(feed => board.follow(feed, take)),
        ...watchedSections.map(({ section, describe }) => followChanges(board, section, describe, take)),
    ];
    take({ name: "daemon.started", level: EventLevel.Info, fields: { pid: process.pid } });
    return {
        async close() {
            clearInterval(timer);
            startPeriod();
            write({ name: "daemon.stopped", level: EventLevel.Info, fields: {} });
            subscriptions.forEach(subscription => subscription.close());
            await new Promise<void>(resolve => logger.once("finish", resolve).end());
        },
    };
}

type WatchedSection = "configuration" | "platformState";

/** Sections whose changes are logged, each with the events that describe its content. */
const watchedSections: readonly {
    readonly section: WatchedSection;
    readonly describe: (board: Board) => readonly Event[];
}[] = [
    { section: "configuration", describe: describeConfiguration },
    { section: "platformState", describe: describePlatform },
];

/** Passes on the events of a section that differ from those of its last content. */
function followChanges(
    board: Board,
    section: WatchedSection,
    describe: (board: Board) => readonly Event[],
    take: (event: Event) => void,
) {
    const last = new Map<string, string>();
    return board.observe([section], () => {
        for (const event of describe(board)) {
            const text = JSON.stringify(event.fields);
            if (last.get(event.name) !== text) {
                last.set(event.name, text);
                take(event);
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

function shorten(value: string | number | boolean | undefined): string | number | boolean | undefined {
    return typeof value === "string" && value.length > maxFieldLength
        ? `${value.slice(0, maxFieldLength)}…`
        : value;
}
