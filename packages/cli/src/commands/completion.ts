import { Left, Right } from "purify-ts/Either";
import { OptionKind, type Command, type Option } from "../command.js";
import { usageFailure } from "../failures.js";

/** Commands and options as the completion scripts need them. */
export interface CompletionSource {
    readonly commands: () => Readonly<Record<string, Command>>;
    readonly globalOptions: readonly Option[];
}

export const Shell = { Bash: "bash", Zsh: "zsh" } as const;
export type Shell = (typeof Shell)[keyof typeof Shell];

/** Creates the command that prints a completion script. */
export function createCompletion({ commands, globalOptions }: CompletionSource): Command {
    const scripts = { [Shell.Bash]: bashScript, [Shell.Zsh]: zshScript } satisfies Record<
        Shell,
        (body: string) => string
    >;
    return {
        arguments: "<shell>",
        describe: "Print a completion script for bash or zsh",
        example: "completion bash > tanagertray-completion.sh",
        async run([shell = ""]) {
            if (!Object.hasOwn(scripts, shell)) {
                return Left(usageFailure(`there is no completion for "${shell}"`, "name bash or zsh"));
            }
            const text = scripts[shell as Shell](scriptBody(commands(), globalOptions));
            return Right({ json: { script: text }, text });
        },
    };
}

function scriptBody(commands: Readonly<Record<string, Command>>, globalOptions: readonly Option[]): string {
    const groups = new Map<string, string[]>([["", []]]);
    for (const name of Object.keys(commands)) {
        const [first = "", second] = name.split(" ");
        groups.set("", [...new Set([...(groups.get("") ?? []), first])]);
        if (second !== undefined) {
            groups.set(first, [...(groups.get(first) ?? []), second]);
        }
    }
    const all = [...globalOptions, ...Object.values(commands).flatMap(command => command.options ?? [])];
    const options = [...new Set(all.map(option => `--${option.name}`)), "--help"].join(" ");
    const values = all.filter(option => option.kind === OptionKind.Text).map(option => `--${option.name}`);
    const cases = [...groups]
        .filter(([first]) => first !== "")
        .map(([first, names]) => `        ${first}) words="${names.join(" ")}" ;;`);
    return `    local current="\${COMP_WORDS[COMP_CWORD]}" previous="\${COMP_WORDS[COMP_CWORD-1]}" words=""
    case "$previous" in
        ${[...new Set(values)].join("|")}) return ;;
        tanagertray) words="${(groups.get("") ?? []).join(" ")}" ;;
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

/** zsh runs the same function through its bash compatibility. */
function zshScript(body: string): string {
    return `autoload -U +X bashcompinit && bashcompinit\n${bashScript(body)}`;
}
