import { Left, Right } from "purify-ts/Either";
import { maxReadBackAttempts } from "../constants.js";
import {
    PlatformAnswer,
    PlatformOperation,
    type PlatformRequest,
    type PlatformResult,
} from "../platform/operation.js";
import { conflictProblem, rejectedProblem } from "./decisionProblems.js";
import { headKey, revisionKey, RevisionState, type Head, type Revision } from "./head.js";
import {
    concurrentChangeProblem,
    platformProblem,
    staleReadProblem,
    unknownOutcomeProblem,
} from "./platformProblems.js";
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

export interface RejectionState {
    readonly step: RejectionStep;
    readonly request: RejectionRequest;
    readonly revision?: Revision;
    readonly revisionTag?: string;
    /** `undefined` if there is no head row. */
    readonly headTag: string | undefined;
    /** Reads repeated for any reason: missing or outdated rows, a conflicting write, or a write to confirm. */
    readonly repeatedReads: number;
    /** Whether the response to a write was lost, so the write may have taken effect. */
    readonly writeOutcomeUnknown: boolean;
}

export type RejectionProgress = Progress<RejectionState, Revision>;

const readHead: PlatformRequest = { operation: PlatformOperation.ReadRow, key: headKey };

/**
 * Starts rejecting a revision, which writes its row on the condition that neither that row nor the head row changed.
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
        repeatedReads: 0,
        writeOutcomeUnknown: false,
    });
}

/** Processes the result of the last request and returns the next request or the outcome. */
export function advanceRejection(state: RejectionState, result: PlatformResult): RejectionProgress {
    return handlers[state.step](state, result);
}

const handlers = {
    [RejectionStep.ReadRevision]: handleRevision,
    [RejectionStep.ReadHead]: handleHead,
    [RejectionStep.WriteRevision]: handleWriteResult,
    [RejectionStep.ReadBack]: handleReadBack,
    [RejectionStep.ReadHeadAgain]: handleHeadReread,
} satisfies Record<RejectionStep, (state: RejectionState, result: PlatformResult) => RejectionProgress>;

function subjectOf(state: RejectionState): string {
    return `revision ${state.request.revision}`;
}

function readRevision(state: RejectionState): RejectionProgress {
    const next = { operation: PlatformOperation.ReadRow, key: revisionKey(state.request.revision) };
    return pending({ ...state, step: RejectionStep.ReadRevision }, next);
}

function handleRevision(state: RejectionState, result: PlatformResult): RejectionProgress {
    // A stale read may not see a row that was just created.
    if (result.answer === PlatformAnswer.Missing && state.repeatedReads < maxReadBackAttempts) {
        return readRevision({ ...state, repeatedReads: state.repeatedReads + 1 });
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

function handleHead(state: RejectionState, result: PlatformResult): RejectionProgress {
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
        return state.repeatedReads < maxReadBackAttempts
            ? pending({ ...state, repeatedReads: state.repeatedReads + 1 }, readHead)
            : finished(Left(staleReadProblem("the head row")));
    }
    const headTag = result.answer === PlatformAnswer.Row ? result.tag : undefined;
    return writeRevision({ ...state, headTag });
}

function writeRevision(state: RejectionState): RejectionProgress {
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
        // An acceptance that was written first changed the head row and makes this write fail.
        unchanged: [{ key: headKey, ...(headTag === undefined ? {} : { tag: headTag }) }],
    };
    return pending({ ...state, step: RejectionStep.WriteRevision, revision: row }, next);
}

function handleWriteResult(state: RejectionState, result: PlatformResult): RejectionProgress {
    if (result.answer === PlatformAnswer.Written) {
        return finished(Right(state.revision as Revision));
    }
    if (state.writeOutcomeUnknown) {
        // If the response to an earlier write was lost, a failed retry does not tell whether that write took effect.
        return readBack(state);
    }
    if (result.answer === PlatformAnswer.Refused) {
        return finished(Left(platformProblem(result, subjectOf(state))));
    }
    if (result.answer !== PlatformAnswer.Conflict) {
        return readBack({ ...state, writeOutcomeUnknown: true });
    }
    return state.repeatedReads < maxReadBackAttempts
        ? readRevision({ ...state, repeatedReads: state.repeatedReads + 1 })
        : finished(Left(concurrentChangeProblem(subjectOf(state))));
}

function readBack(state: RejectionState): RejectionProgress {
    if (state.repeatedReads >= maxReadBackAttempts) {
        return finished(Left(unknownOutcomeProblem(subjectOf(state))));
    }
    const next = { operation: PlatformOperation.ReadRow, key: revisionKey(state.request.revision) };
    return pending({ ...state, step: RejectionStep.ReadBack, repeatedReads: state.repeatedReads + 1 }, next);
}

function handleReadBack(state: RejectionState, result: PlatformResult): RejectionProgress {
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

/** Runs after a read of the revision row without the rejection, current or stale. The conditions make a retry safe. */
function handleHeadReread(state: RejectionState, result: PlatformResult): RejectionProgress {
    const revision = state.revision as Revision;
    const head = result.answer === PlatformAnswer.Row ? (result.row as Head) : undefined;
    // A rejected revision cannot be accepted. This one was, so the rejection whose response was lost had no effect.
    if (head?.history.some(change => change.revision === revision.number)) {
        return finished(Left(conflictProblem(revision, head)));
    }
    const isUnchanged =
        result.answer === PlatformAnswer.Missing ||
        (result.answer === PlatformAnswer.Row && result.tag === state.headTag);
    return isUnchanged ? writeRevision(state) : readBack(state);
}
