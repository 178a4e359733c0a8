import {
    advanceAcceptance,
    advanceRejection,
    advanceSubmission,
    revisionKey,
    startAcceptance,
    startRejection,
    startSubmission,
    type AcceptedChange,
    type Answers,
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

export interface CommandRun {
    readonly faults: readonly Fault[];
    readonly platform: FakePlatform;
    readonly outcome: Either<Problem, unknown>;
}

export const operator = "dana";
export const ownCommand = { operator, writeId: "own", now: 1 };

const storedPartHashes = new Set(makeVersion(3).parts.map(part => part.hash));

export type CommandName = "submit" | "accept" | "reject";

interface Command {
    readonly run: (platform: FakePlatform, faults: readonly Fault[]) => Either<Problem, unknown>;
    /** Runs a conflicting command of another operator. */
    readonly actAsRival: (platform: FakePlatform) => void;
    /** Returns how often the command took effect. */
    readonly countEffects: (platform: FakePlatform) => number;
}

export function runToCompletion<S, R>(
    platform: FakePlatform,
    faults: readonly Fault[],
    start: Progress<S, R>,
    advance: (state: S, result: PlatformResult) => Progress<S, R>,
    actAsRival: (platform: FakePlatform) => void = () => {},
): Either<Problem, R> {
    let progress = start;
    let rivalActed = false;
    for (let step = 0; !progress.done; step += 1) {
        assert.ok(step < 200, "the command does not end");
        const fault = faults[step] ?? Fault.None;
        if (fault === Fault.Rival && !rivalActed) {
            rivalActed = true;
            actAsRival(platform);
        }
        progress = advance(progress.state, platform.answer(progress.next, fault));
    }
    return progress.outcome;
}

export const submitAsRival = (platform: FakePlatform, answers: Answers, writeId: string) =>
    runToCompletion(
        platform,
        [],
        startSubmission({ answers, operator: "rival", writeId, now: 1, storedHashes: new Set() }),
        advanceSubmission,
    );

export const acceptAsRival = (platform: FakePlatform, revision: number, writeId: string) =>
    runToCompletion(
        platform,
        [],
        startAcceptance({ revision, operator: "rival", writeId, now: 1 }),
        advanceAcceptance,
    );

export const headOf = (platform: FakePlatform) => platform.row("head") as Head | undefined;
export const revisionOf = (platform: FakePlatform, number: number) =>
    platform.row(revisionKey(number)) as Revision | undefined;

export const commands: Readonly<Record<CommandName, Command>> = {
    submit: {
        run: (platform, faults) =>
            runToCompletion(
                platform,
                faults,
                startSubmission(submissionRequest()),
                advanceSubmission,
                commands.submit.actAsRival,
            ),
        actAsRival: platform => void submitAsRival(platform, makeAnswers(4), "rival-submit"),
        countEffects: platform =>
            [...Array(40).keys()].filter(i => revisionOf(platform, i)?.writeId === ownCommand.writeId).length,
    },
    accept: {
        run: (platform, faults) =>
            runToCompletion(
                platform,
                faults,
                startAcceptance({ revision: 1, ...ownCommand }),
                advanceAcceptance,
                // The number of faults selects one of two rival commands, both of which make the acceptance impossible.
                faults.length % 2 === 0 ? rejectAsRival : commands.accept.actAsRival,
            ),
        actAsRival: platform => void acceptAsRival(platform, 2, "rival-accept"),
        countEffects: platform =>
            headWrites(platform).filter(change => change.writeId === ownCommand.writeId).length,
    },
    reject: {
        run: (platform, faults) =>
            runToCompletion(
                platform,
                faults,
                startRejection({ revision: 1, ...ownCommand }),
                advanceRejection,
                faults.length % 2 === 0 ? rejectAsRival : commands.reject.actAsRival,
            ),
        actAsRival: platform => void acceptAsRival(platform, 1, "rival-accept"),
        countEffects: platform =>
            platform.writes.filter(
                ({ key, row }) =>
                    key === revisionKey(1) && (row as Revision).rejectionWriteId === ownCommand.writeId,
            ).length,
    },
};

function rejectAsRival(platform: FakePlatform): void {
    const request = { revision: 1, operator: "rival", writeId: "rival-reject", now: 1 };
    runToCompletion(platform, [], startRejection(request), advanceRejection);
}

export function headWrites(platform: FakePlatform): AcceptedChange[] {
    return platform.writes.filter(({ key }) => key === "head").map(({ row }) => row as Head);
}

export function runCommand(name: CommandName, faults: readonly Fault[]): CommandRun {
    const platform = createFakePlatform();
    submitAsRival(platform, makeAnswers(1), "one");
    submitAsRival(platform, makeAnswers(2), "two");
    return { faults, platform, outcome: commands[name].run(platform, faults) };
}

/** Number of requests that a command sends before it writes its row, if there are no faults. */
export const countRequestsBeforeWrite: Readonly<Record<CommandName, () => number>> = {
    submit: () => countRequests(startSubmission(submissionRequest()), advanceSubmission) - 1,
    accept: () => 2,
    reject: () => 2,
};

function submissionRequest() {
    return { answers: makeAnswers(3), ...ownCommand, storedHashes: storedPartHashes };
}

function countRequests<S, R>(
    start: Progress<S, R>,
    advance: (state: S, result: PlatformResult) => Progress<S, R>,
): number {
    const platform = createFakePlatform();
    let count = 0;
    for (let progress = start; !progress.done; count += 1) {
        progress = advance(progress.state, platform.answer(progress.next));
    }
    return count;
}
