import { ExitCode } from "./commandLine.js";
import type { ResolvedSettings } from "./settings/settings.js";
import { startDaemon } from "./start.js";

/** Runs a daemon until a signal asks it to stop, then exits when the calls in flight are done. */
export async function runDaemon(settings: ResolvedSettings): Promise<void> {
    process.on("uncaughtException", error => fail("process.uncaughtException", error));
    process.on("unhandledRejection", reason => fail("process.unhandledRejection", reason));
    const daemon = await startDaemon(settings).catch(error => fail("process.startFailed", error));
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
}

/** Writes one log line without the logger, whose queue would be lost on exit. */
function fail(event: string, error: unknown): never {
    const detail = error instanceof Error ? { message: error.message, stack: error.stack } : String(error);
    const line = { time: new Date().toISOString(), level: "error", event, error: detail };
    process.stderr.write(`${JSON.stringify(line)}\n`);
    process.exit(ExitCode.Failed);
}
