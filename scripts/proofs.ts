/** Writes `docs/proofs.md`. With `--check`, writes nothing and fails when the page is out of date. */
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { format } from "prettier";
import { formatProofs, type MutationResult } from "./proofs/page.js";
import { readScenarios } from "./proofs/scenarios.js";

const page = "docs/proofs.md";
const mutationFile = "docs/mutations.json";

const mutations: MutationResult[] = existsSync(mutationFile)
    ? JSON.parse(readFileSync(mutationFile, "utf8"))
    : [];
const text = await format(formatProofs(readScenarios("."), mutations), { parser: "markdown", tabWidth: 4 });
if (!process.argv.includes("--check")) {
    writeFileSync(page, text);
} else if (!existsSync(page) || readFileSync(page, "utf8") !== text) {
    process.stderr.write(`${page} is out of date; run \`npm run proofs\`\n`);
    process.exitCode = 1;
}
