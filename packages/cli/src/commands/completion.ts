import { Left, Right } from "purify-ts/Either";
import { OptionKind, type Command, type CommandOption } from "../command.js";
import { usageFailure } from "../failures.js";

/** Commands and options that the completion scripts offer. */
export interface CompletionOptions {
    readonly commands: () => Readonly<Record<string, Command>>;
    readonly globalOptions: readonly CommandOption[];
}

export const Shell = { Bash: "bash", Zsh: "zsh" } as const;
export type Shell = (typeof Shell)[keyof typeof Shell];

/** Creates the command that prints a completion script. */
export function createCompletion({ commands, globalOptions }: CompletionOptions): Command {
    const scripts = { [Shell.Bash]: bashScript, [Shell.Zsh]: zshScript } satisfies Record<
        Shell,
        (body: string) => string
    >;
    return {
        arguments: "<shell>",
        description: "Print a shell completion script for bash or zsh",
        example: "completion bash > tanagertray-completion.sh",
        async run([shell = ""]) {
            if (!Object.hasOwn(scripts, shell)) {
                return Left(usageFailure(`the shell "${shell}" is not supported`, "use bash or zsh"));
            }
            const text = scripts[shell as Shell](completionBody(commands(), globalOptions));
            return Right({ json: { script: text }, text });
        },
    };
}

function completionBody(
    commands: Readonly<Record<string, Command>>,
    globalOptions: readonly CommandOption[],
): string {
    const wordsByCommand = new Map<string, string[]>([["", []]]);
    for (const name of Object.keys(commands)) {
        const [command = "", subcommand] = name.split(" ");
        wordsByCommand.set("", [...new Set([...(wordsByCommand.get("") ?? []), command])]);
        if (subcommand !== undefined) {
            wordsByCommand.set(command, [...(wordsByCommand.get(command) ?? []), subcommand]);
        }
    }
    const allOptions = [
        ...globalOptions,
        ...Object.values(commands).flatMap(command => command.options ?? []),
    ];
    const options = [...new Set(allOptions.map(option => `--${option.name}`)), "--help"].join(" ");
    const textOptions = allOptions
        .filter(option => option.kind === OptionKind.Text)
        .map(option => `--${option.name}`);
    const cases = [...wordsByCommand]
        .filter(([command]) => command !== "")
        .map(([command, names]) => `        ${command}) words="${names.join(" ")}" ;;`);
    return `    local current="\${COMP_WORDS[COMP_CWORD]}" previous="\${COMP_WORDS[COMP_CWORD-1]}" words=""
    case "$previous" in
        ${[...new Set(textOptions)].join("|")}) return ;;
        tanagertray) words="${(wordsByCommand.get("") ?? []).join(" ")}" ;;
${cases.join("\n")}
    esac
    case "$current" in
        -*) words="${options}" ;;
    esac
    if [ -z "$words" ]; then
        COMPREPLY=($(compgen -f -- "$current"))
    else
        COMPREPLY=($(compgen -W "$words" -- "$current"))
    fi
`;
}

function bashScript(body: string): string {
    return `_tanagertray() {\n${body}}\ncomplete -F _tanagertray tanagertray\n`;
}

/** zsh runs the bash completion function through bashcompinit. */
function zshScript(body: string): string {
    return `autoload -U +X bashcompinit && bashcompinit\n${bashScript(body)}`;
}
