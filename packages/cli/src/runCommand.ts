import { formatMistake } from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import { ExitCode, type Context, type Failure, type Outcome } from "./command.js";
import { defaultAdmin } from "./constants.js";
import { formatFailure, usageFailure } from "./failures.js";
import { createOperatorClient } from "./operatorClient.js";
import type { ParsedArguments } from "./parseArguments.js";

/** Runs a command and prints its outcome; returns the exit code. */
export async function runCommand({ command, args, options }: ParsedArguments): Promise<ExitCode> {
    const outcome = await createContext(options).caseOf<Promise<Outcome> | Outcome>({
        Left: failure => Left(failure),
        Right: context => command.run(args, context),
    });
    if (process.stderr.isTTY) {
        process.stderr.write(clearLine);
    }
    return outcome.caseOf({
        Left: failure => printFailure(failure, options["json"] === true),
        Right: ({ json, text, exitCode }) => {
            process.stdout.write(options["json"] === true ? `${JSON.stringify(json)}\n` : text);
            return exitCode ?? ExitCode.Done;
        },
    });
}

const clearLine = "\r\u001b[K";

function createContext(options: ParsedArguments["options"]): Either<Failure, Context> {
    const read = (option: string, variable: string, fallback: string) =>
        String(options[option] ?? process.env[variable] ?? fallback);
    const address = read("admin", "TANAGERTRAY_ADMIN", defaultAdmin);
    const admin = /^https?:\/\//.test(address) ? address : `http://${address}`;
    const token = read("token", "TANAGERTRAY_TOKEN", "");
    if (!URL.canParse(admin)) {
        return Left(usageFailure(`"${address}" is not an address`, "for example --admin 127.0.0.1:8082"));
    }
    if (!/^[\x21-\x7e]*$/.test(token)) {
        const nextStep = "copy the token from the settings of the daemon";
        return Left(usageFailure("the token holds characters that no token has", nextStep));
    }
    return Right({
        client: createOperatorClient({ admin, token }),
        operator: read("operator", "USER", "unknown").replace(/[^\x20-\x7e]/g, "?"),
        options,
        progress(text) {
            if (process.stderr.isTTY) {
                process.stderr.write(`${clearLine}${text}`);
            }
        },
    });
}

function printFailure(failure: Failure, json: boolean): ExitCode {
    const { exitCode, problem, mistakes } = failure;
    const document = { ...problem, ...(mistakes === undefined ? {} : { mistakes }) };
    process.stderr.write(json ? `${JSON.stringify(document)}\n` : formatFailure(failure, formatMistake));
    return exitCode;
}
