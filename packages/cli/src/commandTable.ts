import { OptionKind, type Command, type CommandOption } from "./command.js";
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

/** Options that all commands accept. */
export const globalOptions: readonly CommandOption[] = [
    {
        name: "admin",
        kind: OptionKind.Text,
        description: "Admin address of any daemon (TANAGERTRAY_ADMIN)",
    },
    { name: "token", kind: OptionKind.Text, description: "Operator's bearer token (TANAGERTRAY_TOKEN)" },
    {
        name: "operator",
        kind: OptionKind.Text,
        description: "Your name, recorded in the history of changes (USER)",
    },
    { name: "json", kind: OptionKind.Flag, description: "Print JSON" },
];

/** All commands by name. */
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
