import type { Problem } from "@tanagertray/core";
import type { Either } from "purify-ts/Either";
import type { OperatorClient } from "./operatorClient.js";

export const ExitCode = {
    Done: 0,
    Refused: 1,
    Usage: 2,
    /** The platform or the daemon is out of reach, or the outcome is unknown. */
    Unreachable: 3,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

export interface Result {
    /** What `--json` prints. */
    readonly json: unknown;
    /** What people read. */
    readonly text: string;
    /** @default ExitCode.Done */
    readonly exitCode?: ExitCode;
}

export interface Failure {
    readonly exitCode: ExitCode;
    readonly problem: Problem;
    /** Every mistake of a file. */
    readonly mistakes?: readonly Problem[];
    /** Further text for people, such as the change that won a race. */
    readonly text?: string;
}

export type Outcome = Either<Failure, Result>;

export interface Context {
    readonly client: OperatorClient;
    readonly operator: string;
    /** Values of the options of the command, by name. */
    readonly options: Readonly<Record<string, string | boolean | undefined>>;
    /** Shows progress on a terminal; does nothing elsewhere. */
    progress(text: string): void;
}

export const OptionKind = { Text: "text", Flag: "flag" } as const;
export type OptionKind = (typeof OptionKind)[keyof typeof OptionKind];

export interface Option {
    readonly name: string;
    readonly kind: OptionKind;
    readonly describe: string;
    readonly default?: string;
}

export interface Command {
    /** Arguments in the notation of the usage text, such as `<revision>`. */
    readonly arguments: string;
    readonly describe: string;
    readonly example: string;
    readonly options?: readonly Option[];
    run(args: readonly (string | undefined)[], context: Context): Promise<Outcome>;
}
