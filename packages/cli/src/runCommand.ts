import { formatMistake } from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import { ExitCode, type CommandContext, type Failure, type Outcome } from "./command.js";
import { defaultAdminUrl } from "./constants.js";
import { formatFailure, usageFailure } from "./failures.js";
import { createOperatorClient } from "./operatorClient.js";
import type { ParsedArguments } from "./parseArguments.js";

/** Environment variables and output streams of a command. */
export interface Terminal {
    readonly env: Readonly<Record<string, string | undefined>>;
    /** Whether standard error is a terminal, where progress can overwrite one line. */
    readonly interactive: boolean;
    write(text: string): void;
    writeError(text: string): void;
}

/** Runs a command and prints its outcome; returns the exit code. */
export async function runCommand(parsed: ParsedArguments, terminal: Terminal): Promise<ExitCode> {
    const { command, args, options } = parsed;
    const context = rejectExtraArguments(parsed).chain(() => createContext(options, terminal));
    const outcome = await context.caseOf<Promise<Outcome> | Outcome>({
        Left: failure => Left(failure),
        Right: commandContext => command.run(args, commandContext),
    });
    if (terminal.interactive) {
        terminal.writeError(clearLine);
    }
    return outcome.caseOf({
        Left: failure => printFailure(failure, options["json"] === true, terminal),
        Right: ({ json, text, exitCode }) => {
            terminal.write(options["json"] === true ? `${JSON.stringify(json)}\n` : text);
            return exitCode ?? ExitCode.Success;
        },
    });
}

const clearLine = "\r\u001b[K";

/** Fails if there are arguments that the command would ignore. */
function rejectExtraArguments({ extraArguments }: ParsedArguments): Either<Failure, undefined> {
    return extraArguments.length === 0
        ? Right(undefined)
        : Left(usageFailure(`too many arguments: ${extraArguments.join(" ")}`, "run `tanagertray --help`"));
}

function createContext(
    options: ParsedArguments["options"],
    terminal: Terminal,
): Either<Failure, CommandContext> {
    const readSetting = (option: string, variable: string, fallback: string) =>
        String(options[option] ?? terminal.env[variable] ?? fallback);
    const address = readSetting("admin", "TANAGERTRAY_ADMIN", defaultAdminUrl);
    const admin = /^https?:\/\//.test(address) ? address : `http://${address}`;
    const token = readSetting("token", "TANAGERTRAY_TOKEN", "");
    if (!URL.canParse(admin)) {
        return Left(
            usageFailure(`"${address}" is not a valid address`, "use for example --admin 127.0.0.1:8082"),
        );
    }
    if (!/^[\x21-\x7e]*$/.test(token)) {
        const nextStep = "copy the token from the settings of the daemon";
        return Left(
            usageFailure("the token may contain only printable ASCII characters without spaces", nextStep),
        );
    }
    return Right({
        client: createOperatorClient({ admin, token }),
        operator: readSetting("operator", "USER", "unknown").replace(/[^\x20-\x7e]/g, "?"),
        options,
        progress(text) {
            if (terminal.interactive) {
                terminal.writeError(`${clearLine}${text}`);
            }
        },
    });
}

function printFailure(failure: Failure, json: boolean, terminal: Terminal): ExitCode {
    const { exitCode, problem, mistakes } = failure;
    const document = { ...problem, ...(mistakes === undefined ? {} : { mistakes }) };
    terminal.writeError(json ? `${JSON.stringify(document)}\n` : formatFailure(failure, formatMistake));
    return exitCode;
}
