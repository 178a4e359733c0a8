import { Left, Right } from "purify-ts/Either";
import { headHistoryLength, maxReadBackAttempts } from "../constants.js";
import {
    PlatformAnswer,
    PlatformOperation,
    type PlatformRequest,
    type PlatformResult,
} from "../platform/operation.js";
import { problem, ProblemCode, type Problem } from "../problem.js";
import { headKey, revisionKey, RevisionState, type Change, type Head, type Revision } from "./head.js";
import { platformProblem, unknownOutcome } from "./platformProblem.js";
import { finished, pending, type Progress } from "./progress.js";

export const AcceptanceStep = {
    ReadRevision: "readRevision",
    ReadHead: "readHead",
    WriteHead: "writeHead",
    ReadBack: "readBack",
    ReadRevisionAgain: "readRevisionAgain",
} as const;
export type AcceptanceStep = (typeof AcceptanceStep)[keyof typeof AcceptanceStep];

export interface AcceptanceRequest {
    readonly revision: number;
    readonly operator: string;
    readonly writeId: string;
    /** Milliseconds since the epoch. */
    readonly now: number;
}

export interface Acceptance {
    readonly step: AcceptanceStep;
    readonly request: AcceptanceRequest;
    readonly revision?: Revision;
    /** Write in progress; the same condition is used again, so that it takes effect at most once. */
    readonly write?: { readonly head: Head; readonly expectedTag?: string };
    readonly revisionTag?: string;
    readonly readBackAttempts: number;
}

export type AcceptanceProgress = Progress<Acceptance, Head>;

const readHead: PlatformRequest = { operation: PlatformOperation.ReadRow, key: headKey };

/**
 * Starts to accept a revision: moves the head row by one conditional write.
 *
 * @example
 * ```ts
 * let progress = startAcceptance({ revision: 12, operator: "dana", writeId, now });
 * while (!progress.done) {
 *     progress = advanceAcceptance(progress.state, await platform(progress.next));
 * }
 * ```
 */
export function startAcceptance(request: AcceptanceRequest): AcceptanceProgress {
    const next: PlatformRequest = {
        operation: PlatformOperation.ReadRow,
        key: revisionKey(request.revision),
    };
    return pending({ step: AcceptanceStep.ReadRevision, request, readBackAttempts: 0 }, next);
}

/** Takes the result of the last request and returns the next one, or the outcome. */
export function advanceAcceptance(state: Acceptance, result: PlatformResult): AcceptanceProgress {
    return handlers[state.step](state, result);
}

const handlers = {
    [AcceptanceStep.ReadRevision]: takeRevision,
    [AcceptanceStep.ReadHead]: takeHead,
    [AcceptanceStep.WriteHead]: takeWritten,
    [AcceptanceStep.ReadBack]: takeReadBack,
    [AcceptanceStep.ReadRevisionAgain]: takeRevisionAgain,
} satisfies Record<AcceptanceStep, (state: Acceptance, result: PlatformResult) => AcceptanceProgress>;

function takeRevision(state: Acceptance, result: PlatformResult): AcceptanceProgress {
    if (result.answer !== PlatformAnswer.Row) {
        return finished(Left(platformProblem(result, `revision ${state.request.revision}`)));
    }
    const revision = result.row as Revision;
    if (revision.state === RevisionState.Rejected) {
        return finished(Left(rejectedProblem(revision)));
    }
    return pending({ ...state, step: AcceptanceStep.ReadHead, revision, revisionTag: result.tag }, readHead);
}

function takeHead(state: Acceptance, result: PlatformResult): AcceptanceProgress {
    if (result.answer !== PlatformAnswer.Row && result.answer !== PlatformAnswer.Missing) {
        return finished(Left(platformProblem(result, "the head row")));
    }
    const current = result.answer === PlatformAnswer.Row ? (result.row as Head) : undefined;
    const revision = state.revision as Revision;
    if ((current?.version ?? 0) !== revision.baseVersion) {
        return finished(Left(conflictProblem(revision, current)));
    }
    const head = nextHead(state.request, revision, current);
    const write = result.answer === PlatformAnswer.Row ? { head, expectedTag: result.tag } : { head };
    return writeHead({ ...state, write });
}

function writeHead(state: Acceptance): AcceptanceProgress {
    const write = state.write as NonNullable<Acceptance["write"]>;
    const next: PlatformRequest = {
        operation: PlatformOperation.WriteRow,
        key: headKey,
        row: write.head,
        // A rejection that came first changes the revision row, so that this write fails.
        unchanged: [{ key: revisionKey(state.request.revision), tag: state.revisionTag as string }],
        ...(write.expectedTag === undefined ? {} : { expectedTag: write.expectedTag }),
    };
    return pending({ ...state, step: AcceptanceStep.WriteHead }, next);
}

function takeWritten(state: Acceptance, result: PlatformResult): AcceptanceProgress {
    if (result.answer === PlatformAnswer.Written) {
        return finished(Right((state.write as NonNullable<Acceptance["write"]>).head));
    }
    // After a lost write, a refusal of the second one says nothing about the first.
    if (result.answer === PlatformAnswer.Refused && state.readBackAttempts === 0) {
        return finished(Left(platformProblem(result, "the head row")));
    }
    return readBack(state);
}

function readBack(state: Acceptance): AcceptanceProgress {
    if (state.readBackAttempts >= maxReadBackAttempts) {
        return finished(Left(unknownOutcome(`revision ${state.request.revision}`)));
    }
    const next = { ...state, step: AcceptanceStep.ReadBack, readBackAttempts: state.readBackAttempts + 1 };
    return pending(next, readHead);
}

function takeReadBack(state: Acceptance, result: PlatformResult): AcceptanceProgress {
    if (result.answer === PlatformAnswer.Missing) {
        return rewriteHead(state);
    }
    if (result.answer !== PlatformAnswer.Row) {
        return readBack(state);
    }
    const current = result.row as Head;
    const own = current.history.find(change => change.writeId === state.request.writeId);
    if (own !== undefined) {
        return finished(Right((state.write as NonNullable<Acceptance["write"]>).head));
    }
    // The row still is the base, or a stale copy of it: the condition makes a second write safe.
    if (result.tag === state.write?.expectedTag) {
        return rewriteHead(state);
    }
    const revision = state.revision as Revision;
    if (current.version > revision.baseVersion) {
        return finished(Left(conflictProblem(revision, current)));
    }
    return readBack(state);
}

/** Reads the revision again before a second write, because a rejection may have caused the conflict. */
function rewriteHead(state: Acceptance): AcceptanceProgress {
    const next: PlatformRequest = {
        operation: PlatformOperation.ReadRow,
        key: revisionKey(state.request.revision),
    };
    return pending({ ...state, step: AcceptanceStep.ReadRevisionAgain }, next);
}

function takeRevisionAgain(state: Acceptance, result: PlatformResult): AcceptanceProgress {
    if (result.answer !== PlatformAnswer.Row) {
        return readBack(state);
    }
    const revision = result.row as Revision;
    if (revision.state === RevisionState.Rejected) {
        return finished(Left(rejectedProblem(revision)));
    }
    return writeHead({ ...state, revisionTag: result.tag });
}

function nextHead(request: AcceptanceRequest, revision: Revision, current: Head | undefined): Head {
    const change: Change = {
        version: revision.baseVersion + 1,
        revision: revision.number,
        manifestHash: revision.manifestHash,
        operator: request.operator,
        writeId: request.writeId,
        acceptedAt: request.now,
    };
    const history = [change, ...(current?.history ?? [])].slice(0, headHistoryLength);
    return { ...change, token: (current?.token ?? 0) + 1, history };
}

function rejectedProblem(revision: Revision): Problem {
    const by = revision.rejectedBy ?? "an operator";
    return problem(ProblemCode.AlreadyDecided, `revision ${revision.number} was rejected by ${by}`, {
        where: revisionKey(revision.number),
        nextStep: "submit the answers again",
    });
}

/** Names the change that moved the head since the revision was generated. */
function conflictProblem(revision: Revision, current: Head | undefined): Problem {
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
