/** Rewrites the golden sessions on purpose and shows what changed. */
import { AssertionError } from "node:assert";
import { existsSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { resolve } from "node:path";
import { pathToFileURL } from "node:url";

const folder = "packages/core/features/golden/sessions";
const module = pathToFileURL(resolve("build/tests/packages/core/features/support/goldenSessions.js")).href;

const { sessions } = (await import(module)) as { sessions: Record<string, () => string> };
mkdirSync(folder, { recursive: true });
for (const [name, run] of Object.entries(sessions)) {
    const file = `${folder}/${name}.txt`;
    const expected = existsSync(file) ? readFileSync(file, "utf8") : "";
    const actual = run();
    if (actual !== expected) {
        const { message } = new AssertionError({ actual, expected, operator: "strictEqual" });
        process.stdout.write(`${file}\n${message}\n`);
        writeFileSync(file, actual);
    }
}
