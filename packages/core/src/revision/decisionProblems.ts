import { problem, ProblemCode, type Problem } from "../problem.js";
import { revisionKey, type Head, type Revision } from "./head.js";

/** Reports that the revision was rejected by an operator. */
export function rejectedProblem(revision: Revision): Problem {
    const rejectedBy = revision.rejectedBy ?? "an operator";
    return problem(ProblemCode.AlreadyDecided, `revision ${revision.number} was rejected by ${rejectedBy}`, {
        where: revisionKey(revision.number),
        nextStep: "submit the answers again",
    });
}

/** Reports that the revision is already accepted, or which change was accepted after it was generated. */
export function conflictProblem(revision: Revision, current: Head | undefined): Problem {
    const ownChange = current?.history.find(change => change.revision === revision.number);
    if (ownChange !== undefined) {
        const message = `revision ${revision.number} is already accepted as version ${ownChange.version} by ${ownChange.operator}`;
        return problem(ProblemCode.AlreadyDecided, message, { where: revisionKey(revision.number) });
    }
    const winningChange =
        current?.history.find(change => change.version === revision.baseVersion + 1) ?? current;
    const acceptedVersion =
        winningChange === undefined
            ? "no version"
            : `version ${winningChange.version} (revision ${winningChange.revision} by ${winningChange.operator})`;
    const message = `revision ${revision.number} was generated from version ${revision.baseVersion}, but ${acceptedVersion} is accepted`;
    return problem(ProblemCode.Conflict, message, {
        where: revisionKey(revision.number),
        nextStep: "compare with `tanagertray diff` and submit the answers again",
    });
}
