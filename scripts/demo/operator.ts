import { spawn } from "node:child_process";
import { keys } from "./keys.js";

export interface CommandResult {
    readonly output: string;
    /** Time of the first output by `performance.now()`. */
    readonly confirmedAt: number;
    /** Resolves when the process has exited with 0; rejects on any other exit. */
    readonly exited: Promise<void>;
}

/**
 * Runs the `tanagertray` command line until it has written its result. Throws if it exits without one. The process
 * takes about 200 ms more to exit, which must not be counted as convergence time.
 */
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
    const exited = new Promise<void>((resolve, reject) => {
        child.once("error", reject);
        child.once("close", code => {
            const message = `tanagertray ${args.join(" ")} exited with ${code}: ${output.trim()}`;
            return code === 0 ? resolve() : reject(new Error(message));
        });
    });
    const written = new Promise<void>(resolve => {
        child.stdout.on("data", () => output.endsWith("\n") && resolve());
    });
    await Promise.race([written, exited]);
    return { output, confirmedAt, exited };
}
