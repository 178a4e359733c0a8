/**
 * Runs the fault-injection soak for one or more seeds and prints each violated guarantee. The exit code is 1 with
 * findings, and 2 for invalid options or a failed bundle.
 */
import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { runSoak } from "./soak/run.js";

/** Exit code after SIGINT or SIGTERM. */
const interruptedCode = 130;

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        seeds: { type: "string", default: "1" },
        seconds: { type: "string", default: "20" },
        hosts: { type: "string", default: "4" },
        folder: { type: "string", default: "target/soak" },
        "keep-bundle": { type: "boolean", default: false },
    },
});
const numbers = [values.seed, values.seeds, values.seconds, values.hosts].map(Number);
const [seed = 0, seeds = 0, seconds = 0, hosts = 0] = numbers;
if (!numbers.every(Number.isSafeInteger) || hosts < 2 || seeds < 1 || seconds < 1) {
    process.stderr.write(
        "--seed, --seeds, --seconds and --hosts must be integers: at least 2 hosts, 1 seed and 1 second\n",
    );
    process.exit(2);
}
if (!values["keep-bundle"]) {
    const { status } = spawnSync(process.execPath, ["scripts/bundle/bundle.mjs"], { stdio: "inherit" });
    if (status !== 0) {
        process.exit(2);
    }
}

// The exit handlers kill the child processes of an interrupted run.
["SIGINT", "SIGTERM"].forEach(name => process.once(name, () => process.exit(interruptedCode)));

const failedSeeds: number[] = [];
for (const currentSeed of Array.from({ length: seeds }, (_, at) => seed + at)) {
    const { findings, calls, served, runs, lateRuns, recoveryMs, folder } = await runSoak({
        seed: currentSeed,
        seconds,
        hosts,
        folder: values.folder,
    });
    if (findings.length > 0) {
        failedSeeds.push(currentSeed);
        process.stdout.write(`${readFileSync(join(folder, "schedule.txt"), "utf8")}`);
        findings.forEach(({ check, text }) => process.stdout.write(`FINDING ${check}: ${text}\n`));
        process.stdout.write(`records and logs: ${folder}\n`);
    }
    process.stdout.write(
        `seed ${currentSeed}: ${findings.length} findings, ${calls} calls, ${served} served, ${runs} run, ${lateRuns.length} of them late, all served again after ${recoveryMs} ms\n`,
    );
}
process.stdout.write(
    `${seeds} seeds, ${failedSeeds.length} failed${failedSeeds.length > 0 ? `: ${failedSeeds.join(" ")}` : ""}\n`,
);
process.exit(failedSeeds.length > 0 ? 1 : 0);
