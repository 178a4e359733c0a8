import type { Problem } from "@tanagertray/core";
import type { Either } from "purify-ts/Either";
import type { OperatorClient } from "./operatorClient.js";

export const ExitCode = {
    Success: 0,
    Refused: 1,
    UsageError: 2,
    /** The platform or the daemon is unreachable, or the outcome is unknown. */
    Unreachable: 3,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

export interface Result {
    /** Printed as JSON with `--json`. */
    readonly json: unknown;
    /** Printed without `--json`. */
    readonly text: string;
    /** @default ExitCode.Done */
    readonly exitCode?: ExitCode;
}

export interface Failure {
    readonly exitCode: ExitCode;
    readonly problem: Problem;
    /** All mistakes in the answers. */
    readonly mistakes?: readonly Problem[];
    /** Further text that is printed without `--json`, such as the change that was accepted instead. */
    readonly text?: string;
}

export type Outcome = Either<Failure, Result>;

export interface CommandContext {
    readonly client: OperatorClient;
    readonly operator: string;
    /** Option values by name. */
    readonly options: Readonly<Record<string, string | boolean | undefined>>;
    /** Shows progress if standard error is a terminal. */
    progress(text: string): void;
}

export const OptionKind = { Text: "text", Flag: "flag" } as const;
export type OptionKind = (typeof OptionKind)[keyof typeof OptionKind];

export interface CommandOption {
    readonly name: string;
    readonly kind: OptionKind;
    readonly description: string;
    readonly default?: string;
}

export interface Command {
    /** Arguments as the usage text shows them, such as `<revision>`. */
    readonly arguments: string;
    readonly description: string;
    readonly example: string;
    readonly options?: readonly CommandOption[];
    run(args: readonly (string | undefined)[], context: CommandContext): Promise<Outcome>;
}
