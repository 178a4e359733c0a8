import { Left, Right } from "purify-ts/Either";
import { headHistoryLength, maxReadBackAttempts } from "../constants.js";
import {
    PlatformAnswer,
    PlatformOperation,
    type PlatformRequest,
    type PlatformResult,
} from "../platform/operation.js";
import { conflictProblem, rejectedProblem } from "./decisionProblems.js";
import {
    headKey,
    revisionKey,
    RevisionState,
    type AcceptedChange,
    type Head,
    type Revision,
} from "./head.js";
import {
    concurrentChangeProblem,
    platformProblem,
    staleReadProblem,
    unknownOutcomeProblem,
} from "./platformProblems.js";
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

export interface AcceptanceState {
    readonly step: AcceptanceStep;
    readonly request: AcceptanceRequest;
    readonly revision?: Revision;
    /** Write in progress; a retry sends the same condition again, so the write takes effect at most once. */
    readonly write?: { readonly head: Head; readonly expectedTag?: string };
    readonly revisionTag?: string;
    readonly readBackAttempts: number;
    /** Reads repeated because their row was missing or outdated, of the revision row and the head row together. */
    readonly staleReadRetries: number;
    /** Whether the response to a write was lost, so the write may have taken effect. */
    readonly writeOutcomeUnknown: boolean;
}

export type AcceptanceProgress = Progress<AcceptanceState, Head>;

const readHead: PlatformRequest = { operation: PlatformOperation.ReadRow, key: headKey };

/**
 * Starts accepting a revision, which advances the head row with a conditional write.
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
    const state: AcceptanceState = {
        step: AcceptanceStep.ReadRevision,
        request,
        readBackAttempts: 0,
        staleReadRetries: 0,
        writeOutcomeUnknown: false,
    };
    return pending(state, readRevision(state));
}

function readRevision(state: AcceptanceState): PlatformRequest {
    return { operation: PlatformOperation.ReadRow, key: revisionKey(state.request.revision) };
}

/** Processes the result of the last request and returns the next request or the outcome. */
export function advanceAcceptance(state: AcceptanceState, result: PlatformResult): AcceptanceProgress {
    return handlers[state.step](state, result);
}

const handlers = {
    [AcceptanceStep.ReadRevision]: handleRevision,
    [AcceptanceStep.ReadHead]: handleHead,
    [AcceptanceStep.WriteHead]: handleWriteResult,
    [AcceptanceStep.ReadBack]: handleReadBack,
    [AcceptanceStep.ReadRevisionAgain]: handleRevisionReread,
} satisfies Record<AcceptanceStep, (state: AcceptanceState, result: PlatformResult) => AcceptanceProgress>;

function handleRevision(state: AcceptanceState, result: PlatformResult): AcceptanceProgress {
    // A stale read may not see a row that was just created.
    if (result.answer === PlatformAnswer.Missing && state.staleReadRetries < maxReadBackAttempts) {
        return pending({ ...state, staleReadRetries: state.staleReadRetries + 1 }, readRevision(state));
    }
    if (result.answer !== PlatformAnswer.Row) {
        return finished(Left(platformProblem(result, `revision ${state.request.revision}`)));
    }
    const revision = result.row as Revision;
    if (revision.state === RevisionState.Rejected) {
        return finished(Left(rejectedProblem(revision)));
    }
    return pending({ ...state, step: AcceptanceStep.ReadHead, revision, revisionTag: result.tag }, readHead);
}

function handleHead(state: AcceptanceState, result: PlatformResult): AcceptanceProgress {
    if (result.answer !== PlatformAnswer.Row && result.answer !== PlatformAnswer.Missing) {
        return finished(Left(platformProblem(result, "the head row")));
    }
    const current = result.answer === PlatformAnswer.Row ? (result.row as Head) : undefined;
    const revision = state.revision as Revision;
    const version = current?.version ?? 0;
    // The head was at the base version when the revision was generated, so a lower one is a stale read.
    if (version < revision.baseVersion) {
        return state.staleReadRetries < maxReadBackAttempts
            ? pending({ ...state, staleReadRetries: state.staleReadRetries + 1 }, readHead)
            : finished(Left(staleReadProblem("the head row")));
    }
    if (version > revision.baseVersion) {
        return finished(Left(conflictProblem(revision, current)));
    }
    const head = createNextHead(state.request, revision, current);
    const write = result.answer === PlatformAnswer.Row ? { head, expectedTag: result.tag } : { head };
    return writeHead({ ...state, write });
}

function writeHead(state: AcceptanceState): AcceptanceProgress {
    const write = state.write as NonNullable<AcceptanceState["write"]>;
    const next: PlatformRequest = {
        operation: PlatformOperation.WriteRow,
        key: headKey,
        row: write.head,
        // A rejection that was written first changed the revision row and makes this write fail.
        unchanged: [{ key: revisionKey(state.request.revision), tag: state.revisionTag as string }],
        ...(write.expectedTag === undefined ? {} : { expectedTag: write.expectedTag }),
    };
    return pending({ ...state, step: AcceptanceStep.WriteHead }, next);
}

function handleWriteResult(state: AcceptanceState, result: PlatformResult): AcceptanceProgress {
    if (result.answer === PlatformAnswer.Written) {
        return finished(Right((state.write as NonNullable<AcceptanceState["write"]>).head));
    }
    // If the response to an earlier write was lost, a refused retry does not tell whether that write took effect.
    if (result.answer === PlatformAnswer.Refused && !state.writeOutcomeUnknown) {
        return finished(Left(platformProblem(result, "the head row")));
    }
    const hadNoEffect = result.answer === PlatformAnswer.Refused || result.answer === PlatformAnswer.Conflict;
    return readBack({ ...state, writeOutcomeUnknown: state.writeOutcomeUnknown || !hadNoEffect });
}

function readBack(state: AcceptanceState): AcceptanceProgress {
    if (state.readBackAttempts >= maxReadBackAttempts) {
        const createProblem = state.writeOutcomeUnknown ? unknownOutcomeProblem : concurrentChangeProblem;
        return finished(Left(createProblem(`revision ${state.request.revision}`)));
    }
    const next = { ...state, step: AcceptanceStep.ReadBack, readBackAttempts: state.readBackAttempts + 1 };
    return pending(next, readHead);
}

function handleReadBack(state: AcceptanceState, result: PlatformResult): AcceptanceProgress {
    if (result.answer === PlatformAnswer.Missing) {
        return retryHeadWrite(state);
    }
    if (result.answer !== PlatformAnswer.Row) {
        return readBack(state);
    }
    const current = result.row as Head;
    const ownChange = current.history.find(change => change.writeId === state.request.writeId);
    if (ownChange !== undefined) {
        return finished(Right((state.write as NonNullable<AcceptanceState["write"]>).head));
    }
    // The read returned the row that the write replaces, current or stale. The condition makes a retry safe.
    if (result.tag === state.write?.expectedTag) {
        return retryHeadWrite(state);
    }
    const revision = state.revision as Revision;
    if (current.version > revision.baseVersion) {
        const historyNamesWinner = current.history.some(
            change => change.version === revision.baseVersion + 1,
        );
        // The history is bounded: if it no longer holds the change that followed the base version, that change may
        // be the one written here.
        return state.writeOutcomeUnknown && !historyNamesWinner
            ? finished(Left(unknownOutcomeProblem(`revision ${revision.number}`)))
            : finished(Left(conflictProblem(revision, current)));
    }
    return readBack(state);
}

/** Reads the revision again before retrying the write, because a rejection may have caused the conflict. */
function retryHeadWrite(state: AcceptanceState): AcceptanceProgress {
    return pending({ ...state, step: AcceptanceStep.ReadRevisionAgain }, readRevision(state));
}

function handleRevisionReread(state: AcceptanceState, result: PlatformResult): AcceptanceProgress {
    if (result.answer !== PlatformAnswer.Row) {
        return readBack(state);
    }
    const revision = result.row as Revision;
    if (revision.state === RevisionState.Rejected) {
        return finished(Left(rejectedProblem(revision)));
    }
    return writeHead({ ...state, revisionTag: result.tag });
}

function createNextHead(request: AcceptanceRequest, revision: Revision, current: Head | undefined): Head {
    const change: AcceptedChange = {
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
