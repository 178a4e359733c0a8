import { problem, ProblemCode, readAnswers, type Answers, type Problem } from "@tanagertray/core";
import { ExitCode, type Command, type Failure, type Result } from "../command.js";
import { readTextFile } from "../readTextFile.js";

export const answersCheck: Command = {
    arguments: "<file>",
    description: "List all mistakes in an answers file",
    example: "answers check answers.jsonc",
    async run([file = ""]) {
        return readTextFile(file).chain(text =>
            readAnswers(text)
                .mapLeft(mistakes => describeMistakes(file, mistakes))
                .map(answers => describeAnswers(file, answers)),
        );
    },
};

function describeMistakes(file: string, mistakes: readonly Problem[]): Failure {
    const message = `${file} has ${pluralize(mistakes.length, "mistake")}`;
    const nextStep = "correct the answers and check them again";
    const code = mistakes[0]?.code ?? ProblemCode.InvalidAnswer;
    return { exitCode: ExitCode.Refused, problem: problem(code, message, { nextStep }), mistakes };
}

function describeAnswers(file: string, answers: Answers): Result {
    const services = Object.keys(answers.services).length;
    const callers = Object.keys(answers.callers).length;
    const text = `${file} has no mistakes: ${pluralize(services, "service")}, ${pluralize(callers, "caller")}\n`;
    return { json: { services, callers }, text };
}

function pluralize(count: number, noun: string): string {
    return `${count} ${noun}${count === 1 ? "" : "s"}`;
}
