import { OptionKind, type Command, type Option } from "./command.js";
import { accept } from "./commands/accept.js";
import { answersCheck } from "./commands/answersCheck.js";
import { answersInit } from "./commands/answersInit.js";
import { answersSubmit } from "./commands/answersSubmit.js";
import { createCompletion } from "./commands/completion.js";
import { diff } from "./commands/diff.js";
import { drain } from "./commands/drain.js";
import { explain } from "./commands/explain.js";
import { hosts } from "./commands/hosts.js";
import { reject } from "./commands/reject.js";
import { revisions } from "./commands/revisions.js";
import { status } from "./commands/status.js";

/** Options of every command. */
export const globalOptions: readonly Option[] = [
    {
        name: "admin",
        kind: OptionKind.Text,
        describe: "Admin address of any daemon (TANAGERTRAY_ADMIN)",
    },
    { name: "token", kind: OptionKind.Text, describe: "Operator's bearer token (TANAGERTRAY_TOKEN)" },
    { name: "operator", kind: OptionKind.Text, describe: "Your name, for the history of changes (USER)" },
    { name: "json", kind: OptionKind.Flag, describe: "Print JSON" },
];

/** Every command by its name. */
export const commandTable: Readonly<Record<string, Command>> = {
    "answers init": answersInit,
    "answers check": answersCheck,
    "answers submit": answersSubmit,
    diff,
    revisions,
    accept,
    reject,
    status,
    hosts,
    explain,
    drain,
    completion: createCompletion({ commands: () => commandTable, globalOptions }),
};
