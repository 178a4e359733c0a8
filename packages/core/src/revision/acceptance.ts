import { Left, Right } from "purify-ts/Either";
import { headHistoryLength, maxReadBackAttempts } from "../constants.js";
import {
    PlatformAnswer,
    PlatformOperation,
    type PlatformRequest,
    type PlatformResult,
} from "../platform/operation.js";
import { conflictProblem, rejectedProblem } from "./decided.js";
import { headKey, revisionKey, RevisionState, type Change, type Head, type Revision } from "./head.js";
import { changedMeanwhile, platformProblem, staleProblem, unknownOutcome } from "./platformProblem.js";
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
    /** Reads repeated because their row was missing or outdated. */
    readonly readAttempts: number;
    /** Whether the answer to a write was lost, so that it may have taken effect. */
    readonly uncertain: boolean;
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
    const state: Acceptance = {
        step: AcceptanceStep.ReadRevision,
        request,
        readBackAttempts: 0,
        readAttempts: 0,
        uncertain: false,
    };
    return pending(state, readRevision(state));
}

function readRevision(state: Acceptance): PlatformRequest {
    return { operation: PlatformOperation.ReadRow, key: revisionKey(state.request.revision) };
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
    // A stale read may miss a row that was created a moment ago.
    if (result.answer === PlatformAnswer.Missing && state.readAttempts < maxReadBackAttempts) {
        return pending({ ...state, readAttempts: state.readAttempts + 1 }, readRevision(state));
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

function takeHead(state: Acceptance, result: PlatformResult): AcceptanceProgress {
    if (result.answer !== PlatformAnswer.Row && result.answer !== PlatformAnswer.Missing) {
        return finished(Left(platformProblem(result, "the head row")));
    }
    const current = result.answer === PlatformAnswer.Row ? (result.row as Head) : undefined;
    const revision = state.revision as Revision;
    const version = current?.version ?? 0;
    // The head was at the base version when the revision was generated, so a lower one is a stale read.
    if (version < revision.baseVersion) {
        return state.readAttempts < maxReadBackAttempts
            ? pending({ ...state, readAttempts: state.readAttempts + 1 }, readHead)
            : finished(Left(staleProblem("the head row")));
    }
    if (version > revision.baseVersion) {
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
    if (result.answer === PlatformAnswer.Refused && !state.uncertain) {
        return finished(Left(platformProblem(result, "the head row")));
    }
    const hadNoEffect = result.answer === PlatformAnswer.Refused || result.answer === PlatformAnswer.Conflict;
    return readBack({ ...state, uncertain: state.uncertain || !hadNoEffect });
}

function readBack(state: Acceptance): AcceptanceProgress {
    if (state.readBackAttempts >= maxReadBackAttempts) {
        const describe = state.uncertain ? unknownOutcome : changedMeanwhile;
        return finished(Left(describe(`revision ${state.request.revision}`)));
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
        const namesWinner = current.history.some(change => change.version === revision.baseVersion + 1);
        // The history is bounded: without the change that followed the base, the own write may have won.
        return state.uncertain && !namesWinner
            ? finished(Left(unknownOutcome(`revision ${revision.number}`)))
            : finished(Left(conflictProblem(revision, current)));
    }
    return readBack(state);
}

/** Reads the revision again before a second write, because a rejection may have caused the conflict. */
function rewriteHead(state: Acceptance): AcceptanceProgress {
    return pending({ ...state, step: AcceptanceStep.ReadRevisionAgain }, readRevision(state));
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
