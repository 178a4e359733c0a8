import { problem, ProblemCode } from "@tanagertray/core";
import { ExitCode, type Failure } from "./command.js";

export function usageFailure(message: string, nextStep: string): Failure {
    return { exitCode: ExitCode.UsageError, problem: problem(ProblemCode.Unreadable, message, { nextStep }) };
}

/** Formats a failure as text: what happened, where, and what to do next. */
export function formatFailure(
    { problem: reason, mistakes, text }: Failure,
    formatMistake: MistakeFormatter,
): string {
    const mistakeLines = (mistakes ?? []).map(mistake => `  ${formatMistake(mistake)}\n`).join("");
    const whereLine = reason.where === undefined ? "" : `  where: ${reason.where}\n`;
    const nextStepLine = reason.nextStep === undefined ? "" : `  next: ${reason.nextStep}\n`;
    const furtherText = text === undefined ? "" : `${text}`;
    return `error: ${reason.message}\n${mistakeLines}${whereLine}${furtherText}${nextStepLine}`;
}

type MistakeFormatter = (mistake: NonNullable<Failure["mistakes"]>[number]) => string;
