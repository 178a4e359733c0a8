import { problem, ProblemCode } from "@tanagertray/core";
import { ExitCode, type Failure } from "./command.js";

export function usageFailure(message: string, nextStep: string): Failure {
    return { exitCode: ExitCode.Usage, problem: problem(ProblemCode.Unreadable, message, { nextStep }) };
}

/** Formats a failure for a person: what happened, where, and what to do next. */
export function formatFailure({ problem: reason, mistakes, text }: Failure, format: MistakeFormat): string {
    const listed = (mistakes ?? []).map(mistake => `  ${format(mistake)}\n`).join("");
    const where = reason.where === undefined ? "" : `  where: ${reason.where}\n`;
    const next = reason.nextStep === undefined ? "" : `  next: ${reason.nextStep}\n`;
    const more = text === undefined ? "" : `${text}`;
    return `error: ${reason.message}\n${listed}${where}${more}${next}`;
}

type MistakeFormat = (mistake: NonNullable<Failure["mistakes"]>[number]) => string;
