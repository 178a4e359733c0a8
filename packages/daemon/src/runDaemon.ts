import { EventLevel, formatMistake, type Event, type Problem } from "@tanagertray/core";
import type { Either } from "purify-ts/Either";
import { ExitCode } from "./exitCode.js";
import type { ResolvedSettings } from "./settings/settings.js";
import { startDaemon, type AdapterOverrides } from "./start.js";

export interface RunOptions {
    /** @default adapters of the project's own protocol */
    readonly adapters?: AdapterOverrides;
    /** Reads the settings again on SIGHUP. */
    readonly reload?: () => Either<readonly Problem[], ResolvedSettings>;
    /**
     * Events about the settings, reported once the daemon has started.
     * @default []
     */
    readonly events?: readonly Event[];
}

/** Runs a daemon until SIGTERM or SIGINT, and exits after the calls in flight have finished. */
export async function runDaemon(
    settings: ResolvedSettings,
    { adapters = {}, reload, events = [] }: RunOptions = {},
): Promise<void> {
    process.on("uncaughtException", error => exitWithError("process.uncaughtException", error));
    process.on("unhandledRejection", reason => exitWithError("process.unhandledRejection", reason));
    const daemon = await startDaemon(settings, adapters).catch(error =>
        exitWithError("process.startFailed", error),
    );
    events.forEach(event => daemon.reportEvent(event));
    let stopping = false;
    const stop = () => {
        // Ignores further signals, so that calls in flight keep their time to finish.
        if (!stopping) {
            stopping = true;
            void daemon.shutDown().then(() => process.exit(ExitCode.Success));
        }
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
    process.on("SIGHUP", () => daemon.reportEvent(describeReload(settings, reload?.())));
}

/** Reports changed settings. They take effect only after a restart, because settings are read once at startup. */
function describeReload(
    current: ResolvedSettings,
    result: Either<readonly Problem[], ResolvedSettings> | undefined,
): Event {
    const name = "settings.reloaded";
    if (result === undefined) {
        return { name, level: EventLevel.Info, fields: { changed: "" } };
    }
    return result.caseOf<Event>({
        Left: mistakes => ({
            name: "settings.unreadable",
            level: EventLevel.Error,
            fields: { mistakes: mistakes.map(formatMistake).join("; ") },
        }),
        Right: reloaded => {
            const keys = Object.keys(reloaded) as (keyof ResolvedSettings)[];
            const changed = keys.filter(
                key => JSON.stringify(reloaded[key]) !== JSON.stringify(current[key]),
            );
            const level = changed.length === 0 ? EventLevel.Info : EventLevel.Warn;
            return { name, level, fields: { changed: changed.join(","), inForceAfter: "restart" } };
        },
    });
}

/** Writes one log line and exits. Bypasses the logger, whose queue would be lost on exit. */
function exitWithError(event: string, error: unknown): never {
    const detail = error instanceof Error ? { message: error.message, stack: error.stack } : String(error);
    const line = { time: new Date().toISOString(), level: "error", event, error: detail };
    process.stderr.write(`${JSON.stringify(line)}\n`);
    process.exit(ExitCode.Failure);
}
