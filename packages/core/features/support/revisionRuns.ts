import {
    advanceAcceptance,
    advanceRejection,
    advanceSubmission,
    revisionKey,
    startAcceptance,
    startRejection,
    startSubmission,
    type Answers,
    type AcceptedChange,
    type Head,
    type PlatformResult,
    type Problem,
    type Progress,
    type Revision,
} from "@tanagertray/core";
import assert from "node:assert/strict";
import type { Either } from "purify-ts/Either";
import { createFakePlatform, Fault, type FakePlatform } from "./fakePlatform.js";
import { makeAnswers, makeVersion } from "./versions.js";

export interface Run {
    readonly faults: readonly Fault[];
    readonly platform: FakePlatform;
    readonly outcome: Either<Problem, unknown>;
}

export const operator = "dana";
export const own = { operator, writeId: "own", now: 1 };

const storedParts = new Set(makeVersion(3).parts.map(part => part.hash));

export type CommandName = "submit" | "accept" | "reject";

interface Command {
    readonly start: (platform: FakePlatform, faults: readonly Fault[]) => Either<Problem, unknown>;
    /** Acts as another operator, once. */
    readonly rival: (platform: FakePlatform) => void;
    /** Number of times that the command took effect. */
    readonly effects: (platform: FakePlatform) => number;
}

export function drive<S, R>(
    platform: FakePlatform,
    faults: readonly Fault[],
    first: Progress<S, R>,
    advance: (state: S, result: PlatformResult) => Progress<S, R>,
    rival: (platform: FakePlatform) => void = () => {},
): Either<Problem, R> {
    let progress = first;
    let rivalActed = false;
    for (let step = 0; !progress.done; step += 1) {
        assert.ok(step < 200, "the exchange does not end");
        const fault = faults[step] ?? Fault.None;
        if (fault === Fault.Rival && !rivalActed) {
            rivalActed = true;
            rival(platform);
        }
        progress = advance(progress.state, platform.answer(progress.next, fault));
    }
    return progress.outcome;
}

export const submit = (platform: FakePlatform, answers: Answers, writeId: string) =>
    drive(
        platform,
        [],
        startSubmission({ answers, operator: "rival", writeId, now: 1, storedHashes: new Set() }),
        advanceSubmission,
    );

export const accept = (platform: FakePlatform, revision: number, writeId: string) =>
    drive(platform, [], startAcceptance({ revision, operator: "rival", writeId, now: 1 }), advanceAcceptance);

export const headOf = (platform: FakePlatform) => platform.row("head") as Head | undefined;
export const revisionOf = (platform: FakePlatform, number: number) =>
    platform.row(revisionKey(number)) as Revision | undefined;

export const commands: Readonly<Record<CommandName, Command>> = {
    submit: {
        start: (platform, faults) =>
            drive(platform, faults, startSubmission(submission()), advanceSubmission, commands.submit.rival),
        rival: platform => void submit(platform, makeAnswers(4), "rival-submit"),
        effects: platform =>
            [...Array(40).keys()].filter(i => revisionOf(platform, i)?.writeId === own.writeId).length,
    },
    accept: {
        start: (platform, faults) =>
            drive(
                platform,
                faults,
                startAcceptance({ revision: 1, ...own }),
                advanceAcceptance,
                // Either rival makes the acceptance impossible, in turn by the number of faults.
                faults.length % 2 === 0 ? rejectAsRival : commands.accept.rival,
            ),
        rival: platform => void accept(platform, 2, "rival-accept"),
        effects: platform => headWrites(platform).filter(change => change.writeId === own.writeId).length,
    },
    reject: {
        start: (platform, faults) =>
            drive(
                platform,
                faults,
                startRejection({ revision: 1, ...own }),
                advanceRejection,
                faults.length % 2 === 0 ? rejectAsRival : commands.reject.rival,
            ),
        rival: platform => void accept(platform, 1, "rival-accept"),
        effects: platform =>
            platform.writes.filter(
                ({ key, row }) =>
                    key === revisionKey(1) && (row as Revision).rejectionWriteId === own.writeId,
            ).length,
    },
};

function rejectAsRival(platform: FakePlatform): void {
    const request = { revision: 1, operator: "rival", writeId: "rival-reject", now: 1 };
    drive(platform, [], startRejection(request), advanceRejection);
}

export function headWrites(platform: FakePlatform): AcceptedChange[] {
    return platform.writes.filter(({ key }) => key === "head").map(({ row }) => row as Head);
}

export function runCommand(name: CommandName, faults: readonly Fault[]): Run {
    const platform = createFakePlatform();
    submit(platform, makeAnswers(1), "one");
    submit(platform, makeAnswers(2), "two");
    return { faults, platform, outcome: commands[name].start(platform, faults) };
}

/** Requests of a run without faults before its write of a row. */
export const requestsBeforeWrite: Readonly<Record<CommandName, () => number>> = {
    submit: () => countRequests(startSubmission(submission()), advanceSubmission) - 1,
    accept: () => 2,
    reject: () => 2,
};

function submission() {
    return { answers: makeAnswers(3), ...own, storedHashes: storedParts };
}

function countRequests<S, R>(
    first: Progress<S, R>,
    advance: (state: S, result: PlatformResult) => Progress<S, R>,
): number {
    const platform = createFakePlatform();
    let count = 0;
    for (let progress = first; !progress.done; count += 1) {
        progress = advance(progress.state, platform.answer(progress.next));
    }
    return count;
}
