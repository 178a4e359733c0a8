/** Runs an example deployment as separate processes: `npm run demo -- --deployment azraq|kuasa`. */
import { parseArgs } from "node:util";
import { readDeployment } from "./demo/deployment.js";
import { isSuccess } from "./demo/report.js";
import { runDemo } from "./demo/run.js";

/** Timeout of the demo, in milliseconds. It leaves 14 s of the limit of 40 s to end calls and stop processes. */
const demoTimeoutMs = 26_000;

const { values } = parseArgs({ options: { deployment: { type: "string", default: "azraq" } } });
const abort = new AbortController();
const timer = setTimeout(() => abort.abort(new Error("the demo timed out")), demoTimeoutMs);
for (const name of ["SIGINT", "SIGTERM"] as const) {
    process.on(name, () => abort.abort(new Error(`interrupted by ${name}`)));
}

const print = (line: string) => process.stdout.write(`${line}\n`);
try {
    const report = await runDemo(readDeployment(values.deployment), abort.signal, print);
    print(JSON.stringify(report));
    process.exitCode = isSuccess(report) ? 0 : 1;
} catch (error) {
    const reason: unknown = abort.signal.aborted ? abort.signal.reason : error;
    process.stderr.write(`demo: ${reason instanceof Error ? reason.message : String(reason)}\n`);
    process.exitCode = 1;
} finally {
    clearTimeout(timer);
}
