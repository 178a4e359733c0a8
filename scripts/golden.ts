/** Regenerates the golden session files and prints the differences. */
import { AssertionError } from "node:assert";
import { existsSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { resolve } from "node:path";
import { pathToFileURL } from "node:url";

const folder = "packages/core/features/golden/sessions";
const sessionsModule = pathToFileURL(
    resolve("build/tests/packages/core/features/support/goldenSessions.js"),
).href;

const { sessions } = (await import(sessionsModule)) as { sessions: Record<string, () => string> };
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
