import { formatMistake, type Problem } from "@tanagertray/core";
import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { ExitCode } from "./exitCode.js";
import { readSettings } from "./settings/checkSettings.js";
import { resolveSettings } from "./settings/resolveSettings.js";
import type { ResolvedSettings } from "./settings/settings.js";

/** Action requested on the command line: run the daemon, or print a text and exit. */
export type CommandLineRequest =
    | { readonly run: true; readonly settings: ResolvedSettings }
    | { readonly run: false; readonly code: ExitCode; readonly output: string };

export const usage = `Usage: tanagertrayd --settings FILE [--check]

  --settings FILE  settings of this host, JSON with comments
  --check          check the settings and exit
  --help           show this text
  --version        show the version

Exit codes: 0 success, 1 failure, 2 invalid command line or settings.
`;

/** Reads the command line and the settings file. */
export function readCommandLine(args: readonly string[]): CommandLineRequest {
    const options = parseOptions(args);
    if (typeof options === "string") {
        return { run: false, code: ExitCode.Usage, output: `${options}\n\n${usage}` };
    }
    if (options.help === true) {
        return { run: false, code: ExitCode.Success, output: usage };
    }
    if (options.version === true) {
        return { run: false, code: ExitCode.Success, output: `tanagertrayd ${readVersion()}\n` };
    }
    if (options.settings === undefined) {
        return { run: false, code: ExitCode.Usage, output: `option --settings is required\n\n${usage}` };
    }
    return readSettingsFile(options.settings, options.check === true);
}

function parseOptions(args: readonly string[]) {
    try {
        const { values } = parseArgs({
            args: [...args],
            options: {
                settings: { type: "string" },
                check: { type: "boolean" },
                help: { type: "boolean", short: "h" },
                version: { type: "boolean", short: "v" },
            },
        });
        return values;
    } catch (error) {
        return (error as Error).message;
    }
}

function readSettingsFile(file: string, check: boolean): CommandLineRequest {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    } catch (error) {
        const output = `cannot read the settings file: ${(error as Error).message}\n`;
        return { run: false, code: ExitCode.Usage, output };
    }
    return readSettings(text).caseOf<CommandLineRequest>({
        Left: reportMistakes,
        Right: settings =>
            check
                ? { run: false, code: ExitCode.Success, output: "the settings are valid\n" }
                : { run: true, settings: resolveSettings(settings) },
    });
}

function reportMistakes(mistakes: readonly Problem[]): CommandLineRequest {
    const output = mistakes.map(mistake => `${formatMistake(mistake)}\n`).join("");
    return { run: false, code: ExitCode.Usage, output };
}

function readVersion(): string {
    const text = readFileSync(new URL("../package.json", import.meta.url), "utf8");
    return (JSON.parse(text) as { version: string }).version;
}
