import { spawn } from "node:child_process";
import { existsSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import type { MutationResult } from "../proofs/page.js";
import { copyProject } from "./copy.js";
import type { Protection } from "./protections.js";

/** Timeout for the build and for the scenarios of one mutant. Without its protection, the code may wait forever. */
const runTimeoutMs = 300_000;
const timedOut = "timedOut";

/** Removes one protection from a copy of the project and runs the scenarios there. */
export async function runMutation(source: string, protection: Protection): Promise<MutationResult> {
    const folder = copyProject(source);
    try {
        removeProtection(join(folder, protection.file), protection);
        const buildStatus = await run(folder, ["node_modules/typescript/bin/tsc", "-b"]);
        if (buildStatus !== 0) {
            throw new Error(`the code does not compile without "${protection.name}"`);
        }
        const { tags } = protection;
        const testStatus = await run(folder, ["build/scripts/test.js"], {
            TANAGERTRAY_FAILED_FILE: "failed.json",
            ...(tags === undefined ? {} : { TANAGERTRAY_TAGS: `(${tags}) and not @known-red` }),
        });
        const { name, file } = protection;
        if (testStatus === timedOut) {
            return { protection: name, file, red: [`the run was ended after ${runTimeoutMs / 1_000} s`] };
        }
        const report = join(folder, "failed.json");
        if (!existsSync(report)) {
            throw new Error(`the scenarios wrote no report without "${protection.name}"`);
        }
        const red = JSON.parse(readFileSync(report, "utf8")) as string[];
        return { protection: name, file, red };
    } finally {
        rmSync(folder, { recursive: true, force: true });
    }
}

function removeProtection(path: string, protection: Protection): void {
    const text = readFileSync(path, "utf8");
    const occurrences = text.split(protection.search).length - 1;
    if (occurrences !== 1) {
        throw new Error(
            `"${protection.name}": the search text occurs ${occurrences} times in ${protection.file}; expected once`,
        );
    }
    writeFileSync(
        path,
        text.replace(protection.search, () => protection.replacement),
    );
}

function run(
    folder: string,
    args: readonly string[],
    environment: Record<string, string> = {},
): Promise<number | typeof timedOut> {
    const child = spawn(process.execPath, args, {
        cwd: folder,
        stdio: "ignore",
        env: { ...process.env, ...environment },
    });
    return new Promise((resolve, reject) => {
        let hasTimedOut = false;
        const timer = setTimeout(() => {
            hasTimedOut = true;
            child.kill("SIGKILL");
        }, runTimeoutMs);
        child.once("error", reject);
        child.once("exit", code => {
            clearTimeout(timer);
            resolve(hasTimedOut ? timedOut : (code ?? 1));
        });
    });
}
