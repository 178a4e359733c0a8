import { spawn } from "node:child_process";
import { existsSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import type { MutationResult } from "../proofs/page.js";
import { copyProject } from "./copy.js";
import type { Protection } from "./protections.js";

/** Time for the build or the scenarios of one mutant. A mutant may wait for ever for what it removed. */
const runLimitMs = 300_000;
const timedOut = "timedOut";

/** Takes one protection out of a copy of the project and runs the scenarios on it. */
export async function runMutation(source: string, protection: Protection): Promise<MutationResult> {
    const folder = copyProject(source);
    try {
        removeProtection(join(folder, protection.file), protection);
        const built = await run(folder, ["node_modules/typescript/bin/tsc", "-b"]);
        if (built !== 0) {
            throw new Error(`the code does not compile without "${protection.name}"`);
        }
        const { tags } = protection;
        const tested = await run(folder, ["build/scripts/test.js"], {
            TANAGERTRAY_FAILED_FILE: "failed.json",
            ...(tags === undefined ? {} : { TANAGERTRAY_TAGS: `(${tags}) and not @known-red` }),
        });
        const { name, file } = protection;
        if (tested === timedOut) {
            return { protection: name, file, red: [`the run was ended after ${runLimitMs / 1_000} s`] };
        }
        const report = join(folder, "failed.json");
        if (!existsSync(report)) {
            throw new Error(`the scenarios did not finish without "${protection.name}"`);
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
        throw new Error(`"${protection.name}": the text occurs ${occurrences} times in ${protection.file}`);
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
        let isLate = false;
        const timer = setTimeout(() => {
            isLate = true;
            child.kill("SIGKILL");
        }, runLimitMs);
        child.once("error", reject);
        child.once("exit", code => {
            clearTimeout(timer);
            resolve(isLate ? timedOut : (code ?? 1));
        });
    });
}
