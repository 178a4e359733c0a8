import { PlatformAnswer, type PlatformResult } from "../platform/operation.js";
import { problem, ProblemCode, type Problem } from "../problem.js";

/** The problem of a read that did not succeed, or of a write that certainly had no effect. */
export function platformProblem(result: PlatformResult, subject: string): Problem {
    const detail = "message" in result ? result.message : result.answer;
    if (result.answer === PlatformAnswer.Missing) {
        return problem(ProblemCode.NotFound, `${subject} does not exist`, { where: subject });
    }
    return problem(ProblemCode.PlatformUnreachable, `the platform did not serve ${subject}: ${detail}`, {
        where: subject,
        nextStep: "nothing was changed; try again when the platform is back",
    });
}

/** The problem of a write that certainly had no effect, because a row that it depends on kept changing. */
export function changedMeanwhile(subject: string): Problem {
    return problem(ProblemCode.Conflict, `the rows that ${subject} depends on changed meanwhile`, {
        where: subject,
        nextStep: "nothing was changed; run `tanagertray revisions` and try again",
    });
}

/** The problem of reads that keep returning an older row than one already seen. */
export function staleProblem(subject: string): Problem {
    return problem(ProblemCode.PlatformUnreachable, `the platform serves an outdated copy of ${subject}`, {
        where: subject,
        nextStep: "nothing was changed; try again in a few seconds",
    });
}

/** The problem of a write whose effect could not be found out. */
export function unknownOutcome(subject: string): Problem {
    return problem(ProblemCode.OutcomeUnknown, `the platform did not confirm the write of ${subject}`, {
        where: subject,
        nextStep: "run `tanagertray revisions` before trying again",
    });
}
