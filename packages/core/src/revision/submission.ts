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
import { platformProblem, staleProblem, unknownOutcome } from "./platformProblem.js";
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
    /** Hashes of objects that the object store is known to hold. */
    readonly storedHashes: ReadonlySet<string>;
    /**
     * Accepted version that the daemon knows of; an older head row is a stale read.
     * @default 0
     */
    readonly knownVersion?: number;
}

export interface Submission {
    readonly step: SubmissionStep;
    readonly request: SubmissionRequest;
    readonly objects: readonly StoredObject[];
    readonly revision?: Revision;
    readonly numberAttempts: number;
    readonly readBackAttempts: number;
    /** Reads of the head row repeated because they were stale. */
    readonly readAttempts: number;
    /** Whether the answer to a write of the row was lost, so that it may have taken effect. */
    readonly uncertain: boolean;
}

export interface StoredObject {
    readonly hash: string;
    readonly bytes: Uint8Array;
}

const readHead: PlatformRequest = { operation: PlatformOperation.ReadRow, key: headKey };

export type SubmissionProgress = Progress<Submission, Revision>;

/**
 * Starts to submit answers: generates the configuration, stores its parts and creates a revision row.
 * Storing parts is idempotent, because their key is their hash.
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
    const state: Submission = {
        step: SubmissionStep.ReadHead,
        request,
        objects: [],
        numberAttempts: 0,
        readBackAttempts: 0,
        readAttempts: 0,
        uncertain: false,
    };
    return pending(state, readHead);
}

/** Takes the result of the last request and returns the next one, or the outcome. */
export function advanceSubmission(state: Submission, result: PlatformResult): SubmissionProgress {
    return handlers[state.step](state, result);
}

const handlers = {
    [SubmissionStep.ReadHead]: takeHead,
    [SubmissionStep.ListRevisions]: takeRevisions,
    [SubmissionStep.WriteObjects]: takeObjectWritten,
    [SubmissionStep.CreateRow]: takeCreated,
    [SubmissionStep.ReadBack]: takeReadBack,
} satisfies Record<SubmissionStep, (state: Submission, result: PlatformResult) => SubmissionProgress>;

function takeHead(state: Submission, result: PlatformResult): SubmissionProgress {
    if (result.answer !== PlatformAnswer.Row && result.answer !== PlatformAnswer.Missing) {
        return finished(Left(platformProblem(result, "the head row")));
    }
    const head = result.answer === PlatformAnswer.Row ? (result.row as Head) : undefined;
    if ((head?.version ?? 0) < (state.request.knownVersion ?? 0)) {
        return state.readAttempts < maxReadBackAttempts
            ? pending({ ...state, readAttempts: state.readAttempts + 1 }, readHead)
            : finished(Left(staleProblem("the head row")));
    }
    const { objects, answersHash, manifestHash } = prepareObjects(state.request, head?.version ?? 0);
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
    return pending({ ...state, step: SubmissionStep.ListRevisions, objects, revision }, next);
}

function prepareObjects(request: SubmissionRequest, baseVersion: number) {
    const generated = generateConfiguration(resolveAnswers(request.answers), { version: baseVersion + 1 });
    const answersObject = toObject(request.answers);
    const manifestObject = toObject(generated.manifest);
    const parts = [...generated.parts].map(([hash, bytes]): StoredObject => ({ hash, bytes }));
    const missing = parts.filter(part => !request.storedHashes.has(part.hash));
    return {
        objects: [...missing, answersObject, manifestObject],
        answersHash: answersObject.hash,
        manifestHash: manifestObject.hash,
    };
}

function toObject(value: unknown): StoredObject {
    const bytes = canonicalBytes(value);
    return { hash: contentHash(bytes), bytes };
}

function takeRevisions(state: Submission, result: PlatformResult): SubmissionProgress {
    if (result.answer !== PlatformAnswer.Rows) {
        return finished(Left(platformProblem(result, "the list of revisions")));
    }
    const revision = state.revision as Revision;
    const highest = result.rows.reduce(
        (max, row) => Math.max(max, (row.row as Revision).number),
        revision.number - 1,
    );
    return writeNextObject({ ...state, revision: { ...revision, number: highest + 1 } });
}

function writeNextObject(state: Submission): SubmissionProgress {
    const [object] = state.objects;
    if (object === undefined) {
        return createRow(state);
    }
    const next: PlatformRequest = { operation: PlatformOperation.WriteObject, ...object };
    return pending({ ...state, step: SubmissionStep.WriteObjects }, next);
}

function takeObjectWritten(state: Submission, result: PlatformResult): SubmissionProgress {
    if (result.answer === PlatformAnswer.Written) {
        return writeNextObject({ ...state, objects: state.objects.slice(1), readBackAttempts: 0 });
    }
    if (state.readBackAttempts >= maxReadBackAttempts) {
        return finished(Left(platformProblem(result, "a part of the configuration")));
    }
    return writeNextObject({ ...state, readBackAttempts: state.readBackAttempts + 1 });
}

function createRow(state: Submission): SubmissionProgress {
    const revision = state.revision as Revision;
    const next: PlatformRequest = {
        operation: PlatformOperation.WriteRow,
        key: revisionKey(revision.number),
        row: revision,
    };
    return pending({ ...state, step: SubmissionStep.CreateRow }, next);
}

function takeCreated(state: Submission, result: PlatformResult): SubmissionProgress {
    if (result.answer === PlatformAnswer.Written) {
        return finished(Right(state.revision as Revision));
    }
    if (state.uncertain) {
        // After a lost write, a refusal or conflict of the second one says nothing about the first.
        return readBack(state);
    }
    if (result.answer === PlatformAnswer.Conflict) {
        return renumber(state);
    }
    return result.answer === PlatformAnswer.Refused
        ? finished(Left(platformProblem(result, "the revision row")))
        : readBack({ ...state, uncertain: true });
}

function readBack(state: Submission): SubmissionProgress {
    const revision = state.revision as Revision;
    if (state.readBackAttempts >= maxReadBackAttempts) {
        return finished(Left(unknownOutcome(`revision ${revision.number}`)));
    }
    const next = { ...state, step: SubmissionStep.ReadBack, readBackAttempts: state.readBackAttempts + 1 };
    return pending(next, { operation: PlatformOperation.ReadRow, key: revisionKey(revision.number) });
}

function takeReadBack(state: Submission, result: PlatformResult): SubmissionProgress {
    if (result.answer === PlatformAnswer.Missing) {
        return createRow(state);
    }
    if (result.answer !== PlatformAnswer.Row) {
        return readBack(state);
    }
    const revision = state.revision as Revision;
    return (result.row as Revision).writeId === revision.writeId
        ? finished(Right(revision))
        : renumber(state);
}

/** The number is taken by another revision, so that no earlier write of the row took effect. */
function renumber(state: Submission): SubmissionProgress {
    const revision = state.revision as Revision;
    if (state.numberAttempts >= maxRevisionNumberAttempts) {
        const message = `no free revision number was found up to ${revision.number}`;
        return finished(
            Left(problem(ProblemCode.Overloaded, message, { nextStep: "submit the answers again" })),
        );
    }
    const renumbered = { ...revision, number: revision.number + 1 };
    return createRow({
        ...state,
        revision: renumbered,
        numberAttempts: state.numberAttempts + 1,
        readBackAttempts: 0,
        uncertain: false,
    });
}
