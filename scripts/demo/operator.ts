import { spawn } from "node:child_process";
import { keys } from "./keys.js";

export interface CommandResult {
    readonly output: string;
    /** Time of the first output by `performance.now()`. */
    readonly confirmedAt: number;
}

/** Runs the real `tanagertray` command. Throws when it does not exit with 0. */
export async function runTanagertray(
    args: readonly string[],
    admin: string,
    signal: AbortSignal,
): Promise<CommandResult> {
    const options = ["--admin", `http://${admin}`, "--json"];
    const child = spawn(process.execPath, ["packages/cli/dist/main.js", ...args, ...options], {
        stdio: ["ignore", "pipe", "inherit"],
        env: { ...process.env, TANAGERTRAY_TOKEN: keys.operator },
        signal,
    });
    let output = "";
    let confirmedAt = 0;
    child.stdout.on("data", (chunk: Buffer) => {
        confirmedAt ||= performance.now();
        output += chunk.toString("utf8");
    });
    const code = await new Promise<number | null>((resolve, reject) => {
        child.once("error", reject);
        child.once("close", resolve);
    });
    if (code !== 0) {
        throw new Error(`tanagertray ${args.join(" ")} exited with ${code}: ${output.trim()}`);
    }
    return { output, confirmedAt };
}
