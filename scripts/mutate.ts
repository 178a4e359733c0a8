/**
 * Removes each protection in turn and records which scenarios fail without it, for `docs/proofs.md`. With arguments,
 * tests only the protections whose names contain one of them and keeps the recorded results of the others.
 */
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { protections } from "./mutation/protections.js";
import { runMutation } from "./mutation/runMutation.js";
import type { MutationResult } from "./proofs/page.js";

/** Number of mutants that are tested in parallel. */
const parallelRuns = 3;
const resultsFile = "docs/mutations.json";

const nameFilters = process.argv.slice(2);
const pending = protections.filter(
    ({ name }) => nameFilters.length === 0 || nameFilters.some(part => name.includes(part)),
);
const recorded: MutationResult[] =
    nameFilters.length > 0 && existsSync(resultsFile) ? JSON.parse(readFileSync(resultsFile, "utf8")) : [];
const results = new Map(recorded.map(result => [result.protection, result]));

/** Called after each mutant, so that an interrupted run keeps its results. */
function writeResults(): void {
    const ordered = protections.flatMap(protection => results.get(protection.name) ?? []);
    writeFileSync(resultsFile, `${JSON.stringify(ordered, undefined, 4)}\n`);
}

async function runPending(): Promise<void> {
    for (let protection = pending.shift(); protection !== undefined; protection = pending.shift()) {
        const result = await runMutation(process.cwd(), protection);
        results.set(protection.name, result);
        writeResults();
        process.stdout.write(`${protection.name}: ${result.red.length} scenarios failed\n`);
    }
}

await Promise.all(Array.from({ length: parallelRuns }, runPending));
