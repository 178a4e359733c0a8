import { PlatformAnswer, type PlatformResult } from "../platform/operation.js";
import { problem, ProblemCode, type Problem } from "../problem.js";

/** Reports a failed read, or a failed write that certainly had no effect. */
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

/** Reports a write that certainly had no effect, because a row that it depends on changed at every attempt. */
export function concurrentChangeProblem(subject: string): Problem {
    return problem(ProblemCode.Conflict, `the rows that ${subject} depends on changed during the write`, {
        where: subject,
        nextStep: "nothing was changed; run `tanagertray revisions` and try again",
    });
}

/** Reports that every read returned an older row than one already seen. */
export function staleReadProblem(subject: string): Problem {
    return problem(ProblemCode.PlatformUnreachable, `the platform serves an outdated copy of ${subject}`, {
        where: subject,
        nextStep: "nothing was changed; try again in a few seconds",
    });
}

/** Reports a write of which it is unknown whether it took effect. */
export function unknownOutcomeProblem(subject: string): Problem {
    return problem(ProblemCode.OutcomeUnknown, `the platform did not confirm the write of ${subject}`, {
        where: subject,
        nextStep: "run `tanagertray revisions` before trying again",
    });
}
