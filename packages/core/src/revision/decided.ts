import { problem, ProblemCode, type Problem } from "../problem.js";
import { revisionKey, type Head, type Revision } from "./head.js";

/** The problem of a revision that an operator rejected. */
export function rejectedProblem(revision: Revision): Problem {
    const by = revision.rejectedBy ?? "an operator";
    return problem(ProblemCode.AlreadyDecided, `revision ${revision.number} was rejected by ${by}`, {
        where: revisionKey(revision.number),
        nextStep: "submit the answers again",
    });
}

/** Names the change that moved the head since the revision was generated. */
export function conflictProblem(revision: Revision, current: Head | undefined): Problem {
    const accepted = current?.history.find(change => change.revision === revision.number);
    if (accepted !== undefined) {
        const message = `revision ${revision.number} is already accepted as version ${accepted.version} by ${accepted.operator}`;
        return problem(ProblemCode.AlreadyDecided, message, { where: revisionKey(revision.number) });
    }
    const winner = current?.history.find(change => change.version === revision.baseVersion + 1) ?? current;
    const rival =
        winner === undefined
            ? "no version"
            : `version ${winner.version} (revision ${winner.revision} by ${winner.operator})`;
    const message = `revision ${revision.number} was generated from version ${revision.baseVersion}, but ${rival} is accepted`;
    return problem(ProblemCode.Conflict, message, {
        where: revisionKey(revision.number),
        nextStep: "compare with `tanagertray diff` and submit the answers again",
    });
}
