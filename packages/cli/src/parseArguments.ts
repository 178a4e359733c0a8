import { readFileSync } from "node:fs";
import sade from "sade";
import { ExitCode, OptionKind, type Command } from "./command.js";
import { commandTable, globalOptions } from "./commandTable.js";

export interface ParsedArguments {
    readonly command: Command;
    readonly args: readonly (string | undefined)[];
    /** Arguments that the command does not take. */
    readonly surplus: readonly string[];
    readonly options: Readonly<Record<string, string | boolean | undefined>>;
}

/** Reads the command line. Returns undefined when a help text or the version was printed instead. */
export function parseArguments(argv: readonly string[]): ParsedArguments | undefined {
    const program = sade("tanagertray").version(readVersion());
    globalOptions.forEach(option => program.option(`--${option.name}`, option.describe, option.default));
    for (const [name, command] of Object.entries(commandTable)) {
        program.command(`${name} ${command.arguments}`.trim(), command.describe).example(command.example);
        command.options?.forEach(option =>
            program.option(`--${option.name}`, option.describe, option.default),
        );
        program.action(() => undefined);
    }
    const parsed = exitWithUsage(() =>
        program.parse([...argv.slice(0, 2), ...moveFlags(argv.slice(2))], {
            lazy: true,
            string: optionNames(OptionKind.Text),
            boolean: optionNames(OptionKind.Flag),
            unknown: (option: string) => `Unknown option: ${option}`,
        } as never),
    ) as { name: string; args: unknown[] } | undefined;
    if (parsed === undefined) {
        return undefined;
    }
    const { _: surplus, ...options } = parsed.args.at(-1) as ParsedArguments["options"] & {
        readonly _: readonly string[];
    };
    const args = parsed.args.slice(0, -1) as (string | undefined)[];
    return { command: commandTable[parsed.name] as Command, args, surplus, options };
}

/** sade ends the process with 1 on a usage error, which here means a refusal. */
function exitWithUsage<T>(parse: () => T): T {
    const exit = process.exit;
    process.exit = () => exit(ExitCode.Usage);
    try {
        return parse();
    } finally {
        process.exit = exit;
    }
}

/** Moves flags behind the command, since sade would take the word after a flag for its value. */
function moveFlags(args: readonly string[]): readonly string[] {
    const flags = optionNames(OptionKind.Flag).map(name => `--${name}`);
    return [...args.filter(arg => !flags.includes(arg)), ...args.filter(arg => flags.includes(arg))];
}

function optionNames(kind: OptionKind): string[] {
    const all = [...globalOptions, ...Object.values(commandTable).flatMap(command => command.options ?? [])];
    return [...new Set(all.filter(option => option.kind === kind).map(option => option.name))];
}

function readVersion(): string {
    const text = readFileSync(new URL("../package.json", import.meta.url), "utf8");
    return (JSON.parse(text) as { version: string }).version;
}
