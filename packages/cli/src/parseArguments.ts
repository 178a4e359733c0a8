import { readFileSync } from "node:fs";
import sade from "sade";
import { ExitCode, OptionKind, type Command } from "./command.js";
import { commandTable, globalOptions } from "./commandTable.js";

export interface ParsedArguments {
    readonly command: Command;
    readonly args: readonly (string | undefined)[];
    /** Positional arguments beyond those that the command accepts. */
    readonly extraArguments: readonly string[];
    readonly options: Readonly<Record<string, string | boolean | undefined>>;
}

/** Parses the command line. Returns undefined if a help text or the version was printed instead. */
export function parseArguments(argv: readonly string[]): ParsedArguments | undefined {
    const program = sade("tanagertray").version(readVersion());
    globalOptions.forEach(option => program.option(`--${option.name}`, option.description, option.default));
    for (const [name, command] of Object.entries(commandTable)) {
        program.command(`${name} ${command.arguments}`.trim(), command.description).example(command.example);
        command.options?.forEach(option =>
            program.option(`--${option.name}`, option.description, option.default),
        );
        program.action(() => undefined);
    }
    const parsed = withUsageExitCode(() =>
        program.parse([...argv.slice(0, 2), ...moveFlagsToEnd(argv.slice(2))], {
            lazy: true,
            string: optionNames(OptionKind.Text),
            boolean: optionNames(OptionKind.Flag),
            unknown: (option: string) => `Unknown option: ${option}`,
        } as never),
    ) as { name: string; args: unknown[] } | undefined;
    if (parsed === undefined) {
        return undefined;
    }
    const { _: extraArguments, ...options } = parsed.args.at(-1) as ParsedArguments["options"] & {
        readonly _: readonly string[];
    };
    const args = parsed.args.slice(0, -1) as (string | undefined)[];
    return { command: commandTable[parsed.name] as Command, args, extraArguments, options };
}

/** Changes the exit code of usage errors: sade exits with 1, which means `ExitCode.Refused` here. */
function withUsageExitCode<T>(parse: () => T): T {
    const exit = process.exit;
    process.exit = () => exit(ExitCode.UsageError);
    try {
        return parse();
    } finally {
        process.exit = exit;
    }
}

/** Moves flags to the end, because sade would parse the argument after a flag as its value. */
function moveFlagsToEnd(args: readonly string[]): readonly string[] {
    const flags = optionNames(OptionKind.Flag).map(name => `--${name}`);
    return [...args.filter(arg => !flags.includes(arg)), ...args.filter(arg => flags.includes(arg))];
}

function optionNames(kind: OptionKind): string[] {
    const allOptions = [
        ...globalOptions,
        ...Object.values(commandTable).flatMap(command => command.options ?? []),
    ];
    return [...new Set(allOptions.filter(option => option.kind === kind).map(option => option.name))];
}

function readVersion(): string {
    const text = readFileSync(new URL("../package.json", import.meta.url), "utf8");
    return (JSON.parse(text) as { version: string }).version;
}
