import { Left, Right } from "purify-ts/Either";
import type { Answers } from "../answers/answers.js";
import { resolveAnswers } from "../answers/resolveAnswers.js";
import { canonicalBytes, contentHash } from "../configuration/canonical.js";
import { maxReadBackAttempts, maxRevisionNumberAttempts } from "../constants.js";
import { generateConfiguration } from "../generation/generateConfiguration.js";
import {
    PlatformAnswer,
    PlatformOperation,
    type PlatformRequest,
    type PlatformResult,
} from "../platform/operation.js";
import { problem, ProblemCode } from "../problem.js";
import { headKey, revisionKey, RevisionState, type Head, type Revision } from "./head.js";
import { platformProblem, staleReadProblem, unknownOutcomeProblem } from "./platformProblems.js";
import { finished, pending, type Progress } from "./progress.js";

export const SubmissionStep = {
    ReadHead: "readHead",
    ListRevisions: "listRevisions",
    WriteObjects: "writeObjects",
    CreateRow: "createRow",
    ReadBack: "readBack",
} as const;
export type SubmissionStep = (typeof SubmissionStep)[keyof typeof SubmissionStep];

export interface SubmissionRequest {
    readonly answers: Answers;
    readonly operator: string;
    readonly writeId: string;
    /** Milliseconds since the epoch. */
    readonly now: number;
    /** Hashes of objects known to be in the object store. */
    readonly storedHashes: ReadonlySet<string>;
    /**
     * Accepted version known to the daemon; a head row with a lower one is a stale read.
     * @default 0
     */
    readonly knownVersion?: number;
}

export interface SubmissionState {
    readonly step: SubmissionStep;
    readonly request: SubmissionRequest;
    readonly unwrittenObjects: readonly StoredObject[];
    readonly revision?: Revision;
    /** Revision numbers found to be taken. */
    readonly renumberings: number;
    /** Repeated writes of the current object, or reads that check whether the row was written. */
    readonly writeRetries: number;
    /** Reads of the head row repeated because they were stale. */
    readonly staleReadRetries: number;
    /** Whether the response to a write of the row was lost, so the write may have taken effect. */
    readonly writeOutcomeUnknown: boolean;
}

export interface StoredObject {
    readonly hash: string;
    readonly bytes: Uint8Array;
}

const readHead: PlatformRequest = { operation: PlatformOperation.ReadRow, key: headKey };

export type SubmissionProgress = Progress<SubmissionState, Revision>;

/**
 * Starts submitting answers: generates the configuration, stores its parts and creates a revision row.
 * Storing a part is idempotent, because its key is the hash of its content.
 *
 * @example
 * ```ts
 * let progress = startSubmission({ answers, operator: "dana", writeId, now, storedHashes: new Set() });
 * while (!progress.done) {
 *     progress = advanceSubmission(progress.state, await platform(progress.next));
 * }
 * ```
 */
export function startSubmission(request: SubmissionRequest): SubmissionProgress {
    const state: SubmissionState = {
        step: SubmissionStep.ReadHead,
        request,
        unwrittenObjects: [],
        renumberings: 0,
        writeRetries: 0,
        staleReadRetries: 0,
        writeOutcomeUnknown: false,
    };
    return pending(state, readHead);
}

/** Processes the result of the last request and returns the next request or the outcome. */
export function advanceSubmission(state: SubmissionState, result: PlatformResult): SubmissionProgress {
    return handlers[state.step](state, result);
}

const handlers = {
    [SubmissionStep.ReadHead]: handleHead,
    [SubmissionStep.ListRevisions]: handleRevisions,
    [SubmissionStep.WriteObjects]: handleObjectWritten,
    [SubmissionStep.CreateRow]: handleRowWritten,
    [SubmissionStep.ReadBack]: handleReadBack,
} satisfies Record<SubmissionStep, (state: SubmissionState, result: PlatformResult) => SubmissionProgress>;

function handleHead(state: SubmissionState, result: PlatformResult): SubmissionProgress {
    if (result.answer !== PlatformAnswer.Row && result.answer !== PlatformAnswer.Missing) {
        return finished(Left(platformProblem(result, "the head row")));
    }
    const head = result.answer === PlatformAnswer.Row ? (result.row as Head) : undefined;
    if ((head?.version ?? 0) < (state.request.knownVersion ?? 0)) {
        return state.staleReadRetries < maxReadBackAttempts
            ? pending({ ...state, staleReadRetries: state.staleReadRetries + 1 }, readHead)
            : finished(Left(staleReadProblem("the head row")));
    }
    const { unwrittenObjects, answersHash, manifestHash } = prepareObjects(state.request, head?.version ?? 0);
    const revision: Revision = {
        number: (head?.revision ?? 0) + 1,
        baseVersion: head?.version ?? 0,
        answersHash,
        manifestHash,
        operator: state.request.operator,
        writeId: state.request.writeId,
        submittedAt: state.request.now,
        state: RevisionState.Proposed,
    };
    const next: PlatformRequest = {
        operation: PlatformOperation.ListRows,
        prefix: "revision/",
        after: revisionKey(head?.revision ?? 0),
    };
    return pending({ ...state, step: SubmissionStep.ListRevisions, unwrittenObjects, revision }, next);
}

function prepareObjects(request: SubmissionRequest, baseVersion: number) {
    const generated = generateConfiguration(resolveAnswers(request.answers), { version: baseVersion + 1 });
    const answersObject = encodeObject(request.answers);
    const manifestObject = encodeObject(generated.manifest);
    const parts = [...generated.parts].map(([hash, bytes]): StoredObject => ({ hash, bytes }));
    const missingParts = parts.filter(part => !request.storedHashes.has(part.hash));
    return {
        unwrittenObjects: [...missingParts, answersObject, manifestObject],
        answersHash: answersObject.hash,
        manifestHash: manifestObject.hash,
    };
}

function encodeObject(value: unknown): StoredObject {
    const bytes = canonicalBytes(value);
    return { hash: contentHash(bytes), bytes };
}

function handleRevisions(state: SubmissionState, result: PlatformResult): SubmissionProgress {
    if (result.answer !== PlatformAnswer.Rows) {
        return finished(Left(platformProblem(result, "the list of revisions")));
    }
    const revision = state.revision as Revision;
    const highestNumber = result.rows.reduce(
        (max, row) => Math.max(max, (row.row as Revision).number),
        revision.number - 1,
    );
    return writeNextObject({ ...state, revision: { ...revision, number: highestNumber + 1 } });
}

function writeNextObject(state: SubmissionState): SubmissionProgress {
    const [object] = state.unwrittenObjects;
    if (object === undefined) {
        return createRow(state);
    }
    const next: PlatformRequest = { operation: PlatformOperation.WriteObject, ...object };
    return pending({ ...state, step: SubmissionStep.WriteObjects }, next);
}

function handleObjectWritten(state: SubmissionState, result: PlatformResult): SubmissionProgress {
    if (result.answer === PlatformAnswer.Written) {
        return writeNextObject({
            ...state,
            unwrittenObjects: state.unwrittenObjects.slice(1),
            writeRetries: 0,
        });
    }
    if (state.writeRetries >= maxReadBackAttempts) {
        return finished(Left(platformProblem(result, "a part of the configuration")));
    }
    return writeNextObject({ ...state, writeRetries: state.writeRetries + 1 });
}

function createRow(state: SubmissionState): SubmissionProgress {
    const revision = state.revision as Revision;
    const next: PlatformRequest = {
        operation: PlatformOperation.WriteRow,
        key: revisionKey(revision.number),
        row: revision,
    };
    return pending({ ...state, step: SubmissionStep.CreateRow }, next);
}

function handleRowWritten(state: SubmissionState, result: PlatformResult): SubmissionProgress {
    if (result.answer === PlatformAnswer.Written) {
        return finished(Right(state.revision as Revision));
    }
    if (state.writeOutcomeUnknown) {
        // If the response to an earlier write was lost, a failed retry does not tell whether that write took effect.
        return readBack(state);
    }
    if (result.answer === PlatformAnswer.Conflict) {
        return retryWithNextNumber(state);
    }
    return result.answer === PlatformAnswer.Refused
        ? finished(Left(platformProblem(result, "the revision row")))
        : readBack({ ...state, writeOutcomeUnknown: true });
}

function readBack(state: SubmissionState): SubmissionProgress {
    const revision = state.revision as Revision;
    if (state.writeRetries >= maxReadBackAttempts) {
        return finished(Left(unknownOutcomeProblem(`revision ${revision.number}`)));
    }
    const next = { ...state, step: SubmissionStep.ReadBack, writeRetries: state.writeRetries + 1 };
    return pending(next, { operation: PlatformOperation.ReadRow, key: revisionKey(revision.number) });
}

function handleReadBack(state: SubmissionState, result: PlatformResult): SubmissionProgress {
    if (result.answer === PlatformAnswer.Missing) {
        return createRow(state);
    }
    if (result.answer !== PlatformAnswer.Row) {
        return readBack(state);
    }
    const revision = state.revision as Revision;
    return (result.row as Revision).writeId === revision.writeId
        ? finished(Right(revision))
        : retryWithNextNumber(state);
}

/** Retries with the next number. Another revision has this number, so no earlier write of the row took effect. */
function retryWithNextNumber(state: SubmissionState): SubmissionProgress {
    const revision = state.revision as Revision;
    if (state.renumberings >= maxRevisionNumberAttempts) {
        const message = `no free revision number was found up to ${revision.number}`;
        return finished(
            Left(problem(ProblemCode.Overloaded, message, { nextStep: "submit the answers again" })),
        );
    }
    const renumbered = { ...revision, number: revision.number + 1 };
    return createRow({
        ...state,
        revision: renumbered,
        renumberings: state.renumberings + 1,
        writeRetries: 0,
        writeOutcomeUnknown: false,
    });
}
