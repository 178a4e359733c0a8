/** Runs the named benchmarks, or all of them, and prints each figure as a JSON line. */
import { parseArgs } from "node:util";
import { benchmarks } from "./bench/benchmarks.js";

const defaultSeed = "1";
const defaultRuns = "5";

const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: {
        list: { type: "boolean" },
        seed: { type: "string", default: defaultSeed },
        runs: { type: "string", default: defaultRuns },
    },
});

function listBenchmarks(): void {
    for (const [name, benchmark] of Object.entries(benchmarks)) {
        process.stdout.write(`${name}: ${benchmark.summary}\n`);
    }
}

async function runBenchmarks(names: readonly string[]): Promise<void> {
    for (const name of names) {
        const benchmark = benchmarks[name];
        if (benchmark === undefined) {
            process.stderr.write(`unknown benchmark "${name}"; use \`--list\` to list all\n`);
            process.exitCode = 2;
            return;
        }
        const figures = await benchmark.run({ seed: Number(values.seed), runs: Number(values.runs) });
        figures.forEach(figure => process.stdout.write(`${JSON.stringify(figure)}\n`));
    }
}

if (values.list) {
    listBenchmarks();
} else {
    await runBenchmarks(positionals.length > 0 ? positionals : Object.keys(benchmarks));
}
