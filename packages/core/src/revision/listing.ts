import { Left, Right } from "purify-ts/Either";
import { headHistoryLength } from "../constants.js";
import {
    PlatformAnswer,
    PlatformOperation,
    type PlatformRequest,
    type PlatformResult,
} from "../platform/operation.js";
import { headKey, revisionKey, RevisionState, type Head, type Revision } from "./head.js";
import { platformProblem } from "./platformProblems.js";
import { finished, pending, type Progress } from "./progress.js";

export const ListingStep = { ReadHead: "readHead", ListRows: "listRows" } as const;
export type ListingStep = (typeof ListingStep)[keyof typeof ListingStep];

export interface ListingState {
    readonly step: ListingStep;
    readonly head?: Head;
}

export type ListingProgress = Progress<ListingState, readonly Revision[]>;

/** Starts listing the revisions, as far back as the history of the head row reaches. */
export function startListing(): ListingProgress {
    return pending({ step: ListingStep.ReadHead }, { operation: PlatformOperation.ReadRow, key: headKey });
}

export function advanceListing(state: ListingState, result: PlatformResult): ListingProgress {
    return handlers[state.step](state, result);
}

const handlers = {
    [ListingStep.ReadHead]: handleHead,
    [ListingStep.ListRows]: handleRows,
} satisfies Record<ListingStep, (state: ListingState, result: PlatformResult) => ListingProgress>;

function handleHead(_state: ListingState, result: PlatformResult): ListingProgress {
    if (result.answer !== PlatformAnswer.Row && result.answer !== PlatformAnswer.Missing) {
        return finished(Left(platformProblem(result, "the head row")));
    }
    const head = result.answer === PlatformAnswer.Row ? (result.row as Head) : undefined;
    // A full history has lost its oldest entries, so it does not tell whether an older revision was accepted.
    const isTruncated = (head?.history.length ?? 0) >= headHistoryLength;
    const oldestNumber = isTruncated ? (head?.history.at(-1)?.revision ?? 1) : 1;
    const next: PlatformRequest = {
        operation: PlatformOperation.ListRows,
        prefix: "revision/",
        after: revisionKey(Math.max(0, oldestNumber - 1)),
    };
    return pending({ step: ListingStep.ListRows, ...(head === undefined ? {} : { head }) }, next);
}

function handleRows(state: ListingState, result: PlatformResult): ListingProgress {
    return result.answer === PlatformAnswer.Rows
        ? finished(
              Right(
                  deriveRevisionStates(
                      result.rows.map(row => row.row as Revision),
                      state.head,
                  ),
              ),
          )
        : finished(Left(platformProblem(result, "the list of revisions")));
}

/** Replaces the stored state of each revision with the one derived from the head row. */
export function deriveRevisionStates(
    revisions: readonly Revision[],
    head: Head | undefined,
): readonly Revision[] {
    const accepted = new Set(head?.history.map(change => change.revision));
    const headVersion = head?.version ?? 0;
    return revisions.map(revision => {
        if (accepted.has(revision.number)) {
            return { ...revision, state: RevisionState.Accepted };
        }
        return revision.state === RevisionState.Proposed && headVersion > revision.baseVersion
            ? { ...revision, state: RevisionState.Superseded }
            : revision;
    });
}
