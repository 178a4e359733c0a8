import { Left, Right } from "purify-ts/Either";
import { maxReadBackAttempts } from "../constants.js";
import {
    PlatformAnswer,
    PlatformOperation,
    type PlatformRequest,
    type PlatformResult,
} from "../platform/operation.js";
import { conflictProblem, rejectedProblem } from "./decided.js";
import { headKey, revisionKey, RevisionState, type Head, type Revision } from "./head.js";
import { changedMeanwhile, platformProblem, staleProblem, unknownOutcome } from "./platformProblem.js";
import { finished, pending, type Progress } from "./progress.js";

export const RejectionStep = {
    ReadRevision: "readRevision",
    ReadHead: "readHead",
    WriteRevision: "writeRevision",
    ReadBack: "readBack",
    ReadHeadAgain: "readHeadAgain",
} as const;
export type RejectionStep = (typeof RejectionStep)[keyof typeof RejectionStep];

export interface RejectionRequest {
    readonly revision: number;
    readonly operator: string;
    readonly writeId: string;
    /** Milliseconds since the epoch. */
    readonly now: number;
}

export interface Rejection {
    readonly step: RejectionStep;
    readonly request: RejectionRequest;
    readonly revision?: Revision;
    readonly revisionTag?: string;
    /** `undefined` while there is no head row. */
    readonly headTag: string | undefined;
    readonly attempts: number;
    /** Whether the answer to a write was lost, so that it may have taken effect. */
    readonly uncertain: boolean;
}

export type RejectionProgress = Progress<Rejection, Revision>;

const readHead: PlatformRequest = { operation: PlatformOperation.ReadRow, key: headKey };

/**
 * Starts to reject a revision: writes its row on the condition that neither it nor the head row changed.
 *
 * @example
 * ```ts
 * let progress = startRejection({ revision: 12, operator: "dana", writeId, now });
 * while (!progress.done) {
 *     progress = advanceRejection(progress.state, await platform(progress.next));
 * }
 * ```
 */
export function startRejection(request: RejectionRequest): RejectionProgress {
    return readRevision({
        step: RejectionStep.ReadRevision,
        request,
        headTag: undefined,
        attempts: 0,
        uncertain: false,
    });
}

/** Takes the result of the last request and returns the next one, or the outcome. */
export function advanceRejection(state: Rejection, result: PlatformResult): RejectionProgress {
    return handlers[state.step](state, result);
}

const handlers = {
    [RejectionStep.ReadRevision]: takeRevision,
    [RejectionStep.ReadHead]: takeHead,
    [RejectionStep.WriteRevision]: takeWritten,
    [RejectionStep.ReadBack]: takeReadBack,
    [RejectionStep.ReadHeadAgain]: takeHeadAgain,
} satisfies Record<RejectionStep, (state: Rejection, result: PlatformResult) => RejectionProgress>;

function subjectOf(state: Rejection): string {
    return `revision ${state.request.revision}`;
}

function readRevision(state: Rejection): RejectionProgress {
    const next = { operation: PlatformOperation.ReadRow, key: revisionKey(state.request.revision) };
    return pending({ ...state, step: RejectionStep.ReadRevision }, next);
}

function takeRevision(state: Rejection, result: PlatformResult): RejectionProgress {
    // A stale read may miss a row that was created a moment ago.
    if (result.answer === PlatformAnswer.Missing && state.attempts < maxReadBackAttempts) {
        return readRevision({ ...state, attempts: state.attempts + 1 });
    }
    if (result.answer !== PlatformAnswer.Row) {
        return finished(Left(platformProblem(result, subjectOf(state))));
    }
    const revision = result.row as Revision;
    if (revision.state === RevisionState.Rejected) {
        return finished(Left(rejectedProblem(revision)));
    }
    const next = { ...state, step: RejectionStep.ReadHead, revision, revisionTag: result.tag };
    return pending(next, readHead);
}

function takeHead(state: Rejection, result: PlatformResult): RejectionProgress {
    if (result.answer !== PlatformAnswer.Row && result.answer !== PlatformAnswer.Missing) {
        return finished(Left(platformProblem(result, "the head row")));
    }
    const revision = state.revision as Revision;
    const head = result.answer === PlatformAnswer.Row ? (result.row as Head) : undefined;
    const version = head?.version ?? 0;
    if (version > revision.baseVersion) {
        return finished(Left(conflictProblem(revision, head)));
    }
    // The head was at the base version when the revision was generated, so a lower one is a stale read.
    if (version < revision.baseVersion) {
        return state.attempts < maxReadBackAttempts
            ? pending({ ...state, attempts: state.attempts + 1 }, readHead)
            : finished(Left(staleProblem("the head row")));
    }
    const headTag = result.answer === PlatformAnswer.Row ? result.tag : undefined;
    return writeRevision({ ...state, headTag });
}

function writeRevision(state: Rejection): RejectionProgress {
    const { request, headTag } = state;
    const row: Revision = {
        ...(state.revision as Revision),
        state: RevisionState.Rejected,
        rejectedBy: request.operator,
        rejectedAt: request.now,
        rejectionWriteId: request.writeId,
    };
    const next: PlatformRequest = {
        operation: PlatformOperation.WriteRow,
        key: revisionKey(request.revision),
        row,
        expectedTag: state.revisionTag as string,
        // An acceptance that came first changes the head row, so that this write fails.
        unchanged: [{ key: headKey, ...(headTag === undefined ? {} : { tag: headTag }) }],
    };
    return pending({ ...state, step: RejectionStep.WriteRevision, revision: row }, next);
}

function takeWritten(state: Rejection, result: PlatformResult): RejectionProgress {
    if (result.answer === PlatformAnswer.Written) {
        return finished(Right(state.revision as Revision));
    }
    if (state.uncertain) {
        // After a lost write, a refusal or conflict of the second one says nothing about the first.
        return readBack(state);
    }
    if (result.answer === PlatformAnswer.Refused) {
        return finished(Left(platformProblem(result, subjectOf(state))));
    }
    if (result.answer !== PlatformAnswer.Conflict) {
        return readBack({ ...state, uncertain: true });
    }
    return state.attempts < maxReadBackAttempts
        ? readRevision({ ...state, attempts: state.attempts + 1 })
        : finished(Left(changedMeanwhile(subjectOf(state))));
}

function readBack(state: Rejection): RejectionProgress {
    if (state.attempts >= maxReadBackAttempts) {
        return finished(Left(unknownOutcome(subjectOf(state))));
    }
    const next = { operation: PlatformOperation.ReadRow, key: revisionKey(state.request.revision) };
    return pending({ ...state, step: RejectionStep.ReadBack, attempts: state.attempts + 1 }, next);
}

function takeReadBack(state: Rejection, result: PlatformResult): RejectionProgress {
    if (result.answer !== PlatformAnswer.Row) {
        return readBack(state);
    }
    const current = result.row as Revision;
    if (current.state === RevisionState.Rejected) {
        return current.rejectionWriteId === state.request.writeId
            ? finished(Right(state.revision as Revision))
            : finished(Left(rejectedProblem(current)));
    }
    return pending({ ...state, step: RejectionStep.ReadHeadAgain }, readHead);
}

/** The row is unchanged or a stale copy: the conditions make a second write safe. */
function takeHeadAgain(state: Rejection, result: PlatformResult): RejectionProgress {
    const revision = state.revision as Revision;
    const head = result.answer === PlatformAnswer.Row ? (result.row as Head) : undefined;
    // Only a revision that was not rejected can be accepted, so the lost write had no effect.
    if (head?.history.some(change => change.revision === revision.number)) {
        return finished(Left(conflictProblem(revision, head)));
    }
    const isUnchanged =
        result.answer === PlatformAnswer.Missing ||
        (result.answer === PlatformAnswer.Row && result.tag === state.headTag);
    return isUnchanged ? writeRevision(state) : readBack(state);
}
