/**
 * Removes each protection in turn and records which scenarios turn red, for `docs/proofs.md`. With arguments,
 * runs only the protections whose names contain one of them and keeps the recorded results of the others.
 */
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { protections } from "./mutation/protections.js";
import { runMutation } from "./mutation/runMutation.js";
import type { MutationResult } from "./proofs/page.js";

/** Copies that are tested at the same time. */
const parallelRuns = 3;
const file = "docs/mutations.json";

const parts = process.argv.slice(2);
const waiting = protections.filter(
    ({ name }) => parts.length === 0 || parts.some(part => name.includes(part)),
);
const recorded: MutationResult[] =
    parts.length > 0 && existsSync(file) ? JSON.parse(readFileSync(file, "utf8")) : [];
const results = new Map(recorded.map(result => [result.protection, result]));

/** Written after each mutant, so that a run that is ended early keeps its results. */
function writeResults(): void {
    const ordered = protections.flatMap(protection => results.get(protection.name) ?? []);
    writeFileSync(file, `${JSON.stringify(ordered, undefined, 4)}\n`);
}

async function work(): Promise<void> {
    for (let protection = waiting.shift(); protection !== undefined; protection = waiting.shift()) {
        const result = await runMutation(process.cwd(), protection);
        results.set(protection.name, result);
        writeResults();
        process.stdout.write(`${protection.name}: ${result.red.length} scenarios turned red\n`);
    }
}

await Promise.all(Array.from({ length: parallelRuns }, work));
