import { EventLevel, formatMistake, type Event, type Problem } from "@tanagertray/core";
import type { Either } from "purify-ts/Either";
import { ExitCode } from "./exitCode.js";
import type { ResolvedSettings } from "./settings/settings.js";
import { startDaemon, type DaemonParts } from "./start.js";

export interface RunOptions {
    /** @default the project's own parts */
    readonly parts?: DaemonParts;
    /** Reads the settings again when the process is told that they changed. */
    readonly reload?: () => Either<readonly Problem[], ResolvedSettings>;
}

/** Runs a daemon until a signal asks it to stop, then exits when the calls in flight are done. */
export async function runDaemon(
    settings: ResolvedSettings,
    { parts = {}, reload }: RunOptions = {},
): Promise<void> {
    process.on("uncaughtException", error => fail("process.uncaughtException", error));
    process.on("unhandledRejection", reason => fail("process.unhandledRejection", reason));
    const daemon = await startDaemon(settings, parts).catch(error => fail("process.startFailed", error));
    let stopping = false;
    const stop = () => {
        // A second signal changes nothing: calls in flight keep their time to finish.
        if (!stopping) {
            stopping = true;
            void daemon.shutDown().then(() => process.exit(ExitCode.Done));
        }
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
    process.on("SIGHUP", () => daemon.note(describeReload(settings, reload?.())));
}

/** Every setting holds from the start of the process, so a change is reported and waits for the next start. */
function describeReload(
    current: ResolvedSettings,
    read: Either<readonly Problem[], ResolvedSettings> | undefined,
): Event {
    const name = "settings.reloaded";
    if (read === undefined) {
        return { name, level: EventLevel.Info, fields: { changed: "" } };
    }
    return read.caseOf<Event>({
        Left: mistakes => ({
            name: "settings.unreadable",
            level: EventLevel.Error,
            fields: { mistakes: mistakes.map(formatMistake).join("; ") },
        }),
        Right: next => {
            const keys = Object.keys(next) as (keyof ResolvedSettings)[];
            const changed = keys.filter(key => JSON.stringify(next[key]) !== JSON.stringify(current[key]));
            const level = changed.length === 0 ? EventLevel.Info : EventLevel.Warn;
            return { name, level, fields: { changed: changed.join(","), inForceAfter: "restart" } };
        },
    });
}

/** Writes one log line without the logger, whose queue would be lost on exit. */
function fail(event: string, error: unknown): never {
    const detail = error instanceof Error ? { message: error.message, stack: error.stack } : String(error);
    const line = { time: new Date().toISOString(), level: "error", event, error: detail };
    process.stderr.write(`${JSON.stringify(line)}\n`);
    process.exit(ExitCode.Failed);
}
