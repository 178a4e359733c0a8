import { Left, Right } from "purify-ts/Either";
import { headHistoryLength } from "../constants.js";
import {
    PlatformAnswer,
    PlatformOperation,
    type PlatformRequest,
    type PlatformResult,
} from "../platform/operation.js";
import { headKey, revisionKey, RevisionState, type Head, type Revision } from "./head.js";
import { platformProblem } from "./platformProblem.js";
import { finished, pending, type Progress } from "./progress.js";

export const ListingStep = { ReadHead: "readHead", ListRows: "listRows" } as const;
export type ListingStep = (typeof ListingStep)[keyof typeof ListingStep];

export interface Listing {
    readonly step: ListingStep;
    readonly head?: Head;
}

export type ListingProgress = Progress<Listing, readonly Revision[]>;

/** Starts to list the revisions as far back as the history of the head row reaches. */
export function startListing(): ListingProgress {
    return pending({ step: ListingStep.ReadHead }, { operation: PlatformOperation.ReadRow, key: headKey });
}

export function advanceListing(state: Listing, result: PlatformResult): ListingProgress {
    return handlers[state.step](state, result);
}

const handlers = {
    [ListingStep.ReadHead]: takeHead,
    [ListingStep.ListRows]: takeRows,
} satisfies Record<ListingStep, (state: Listing, result: PlatformResult) => ListingProgress>;

function takeHead(_state: Listing, result: PlatformResult): ListingProgress {
    if (result.answer !== PlatformAnswer.Row && result.answer !== PlatformAnswer.Missing) {
        return finished(Left(platformProblem(result, "the head row")));
    }
    const head = result.answer === PlatformAnswer.Row ? (result.row as Head) : undefined;
    // A full history no longer tells whether an older revision was accepted.
    const isTruncated = (head?.history.length ?? 0) >= headHistoryLength;
    const oldest = isTruncated ? (head?.history.at(-1)?.revision ?? 1) : 1;
    const next: PlatformRequest = {
        operation: PlatformOperation.ListRows,
        prefix: "revision/",
        after: revisionKey(Math.max(0, oldest - 1)),
    };
    return pending({ step: ListingStep.ListRows, ...(head === undefined ? {} : { head }) }, next);
}

function takeRows(state: Listing, result: PlatformResult): ListingProgress {
    return result.answer === PlatformAnswer.Rows
        ? finished(
              Right(
                  markRevisions(
                      result.rows.map(row => row.row as Revision),
                      state.head,
                  ),
              ),
          )
        : finished(Left(platformProblem(result, "the list of revisions")));
}

/** Replaces the state of each row by the one that follows from the head row. */
export function markRevisions(revisions: readonly Revision[], head: Head | undefined): readonly Revision[] {
    const accepted = new Set(head?.history.map(change => change.revision));
    const version = head?.version ?? 0;
    return revisions.map(revision => {
        if (accepted.has(revision.number)) {
            return { ...revision, state: RevisionState.Accepted };
        }
        return revision.state === RevisionState.Proposed && version > revision.baseVersion
            ? { ...revision, state: RevisionState.Superseded }
            : revision;
    });
}
