import { Then, When } from "@cucumber/cucumber";
import {
    advanceAcceptance,
    advanceComparison,
    advanceListing,
    advanceRejection,
    advanceSubmission,
    PlatformOperation,
    ProblemCode,
    startAcceptance,
    startComparison,
    startListing,
    startRejection,
    startSubmission,
    type PlatformRequest,
    type PlatformResult,
    type Problem,
    type Revision,
    type RevisionDifference,
} from "@tanagertray/core";
import fc from "fast-check";
import assert from "node:assert/strict";
import type { Either } from "purify-ts/Either";
import { createFakePlatform, Fault, type FakePlatform } from "../support/fakePlatform.js";
import {
    acceptAsRival,
    commands,
    countRequestsBeforeWrite,
    headOf,
    headWrites,
    operator,
    ownCommand,
    revisionOf,
    runCommand,
    runToCompletion,
    submitAsRival,
    type CommandName,
    type CommandRun,
} from "../support/revisionRuns.js";
import { makeAnswers, makeVersion } from "../support/versions.js";

interface World {
    runs: CommandRun[];
    command: CommandName;
    outcome: Either<Problem, unknown>;
    writtenObjects: number;
}

When(
    "{string} runs with each fault at each of its first {int} steps",
    function (this: World, name: CommandName, steps: number) {
        this.command = name;
        this.runs = Object.values(Fault).flatMap(fault =>
            Array.from({ length: steps }, (_, step) =>
                runCommand(name, [...Array<Fault>(step).fill(Fault.None), fault]),
            ),
        );
    },
);

When(
    "{string} runs with {int} random sequences of faults",
    function (this: World, name: CommandName, count: number) {
        this.command = name;
        const faults = fc.array(fc.constantFrom(...Object.values(Fault)), { maxLength: 14 });
        this.runs = fc.sample(faults, { seed: 99, numRuns: count }).map(list => runCommand(name, list));
    },
);

When(
    "{string} runs with every sequence of 4 faults starting at its row write",
    function (this: World, name: CommandName) {
        this.command = name;
        const leadingFaults = Array<Fault>(countRequestsBeforeWrite[name]()).fill(Fault.None);
        const faults = Object.values(Fault);
        const pairs = faults.flatMap(first => faults.map(second => [first, second]));
        this.runs = pairs.flatMap(first =>
            pairs.map(second => runCommand(name, [...leadingFaults, ...first, ...second])),
        );
        assert.equal(this.runs.length, faults.length ** 4);
    },
);

When("{string} runs with the faults {string}", function (this: World, name: CommandName, faults: string) {
    this.command = name;
    this.runs = [runCommand(name, faults.split(",") as Fault[])];
});

When(
    "{string} runs with the faults {string} starting at its row write",
    function (this: World, name: CommandName, faults: string) {
        this.command = name;
        const leadingFaults = Array<Fault>(countRequestsBeforeWrite[name]()).fill(Fault.None);
        this.runs = [runCommand(name, [...leadingFaults, ...(faults.split(",") as Fault[])])];
    },
);

When(
    "a revision based on version 1 is accepted with {int} stale reads of the head row",
    function (this: World, times: number) {
        const platform = createFakePlatform();
        submitAsRival(platform, makeAnswers(1), "one");
        acceptAsRival(platform, 1, "accept");
        submitAsRival(platform, makeAnswers(2), "two");
        const faults = [Fault.None, ...Array<Fault>(times).fill(Fault.Stale)];
        const start = startAcceptance({ revision: 2, ...ownCommand });
        this.outcome = runToCompletion(platform, faults, start, advanceAcceptance);
        this.runs = [{ faults, platform, outcome: this.outcome }];
    },
);

Then(
    "the acceptance ends as {string} after {int} writes of the head row",
    function (this: World, outcome: string, writes: number) {
        const outcomeName = this.outcome.caseOf({
            Left: ({ code }) => code as string,
            Right: () => "accepted",
        });
        assert.equal(outcomeName, outcome);
        assert.equal(headWrites((this.runs[0] as CommandRun).platform).length, writes);
    },
);

Then("each revision command took effect at most once and reported its true outcome", function (this: World) {
    for (const { platform, outcome, faults } of this.runs) {
        const effects = commands[this.command].countEffects(platform);
        const details = `${faults.join(",")}: ${effects} effects, ${JSON.stringify(outcome.extract())}`;
        assert.ok(effects <= 1, details);
        const problem = outcome.isLeft() ? (outcome.extract() as Problem) : undefined;
        if (problem?.code !== ProblemCode.OutcomeUnknown) {
            assert.equal(effects, problem === undefined ? 1 : 0, details);
        }
        const versions = headWrites(platform).map(change => change.version);
        assert.deepEqual(
            versions,
            versions.map((_, i) => i + 1),
            details,
        );
        const isAccepted = headOf(platform)?.history.some(change => change.revision === 1) ?? false;
        assert.ok(!(isAccepted && revisionOf(platform, 1)?.state === "rejected"), details);
    }
});

Then("it succeeded at least once with each of the faults {string}", function (this: World, faults: string) {
    for (const fault of faults.split(",")) {
        const runs = this.runs.filter(run => run.faults.at(-1) === fault);
        assert.ok(
            runs.some(run => run.outcome.isRight()),
            fault,
        );
    }
});

function runAcceptance(performWrite: (platform: FakePlatform, request: PlatformRequest) => PlatformResult) {
    const platform = createFakePlatform();
    submitAsRival(platform, makeAnswers(1), "one");
    submitAsRival(platform, makeAnswers(2), "two");
    let progress = startAcceptance({ revision: 1, ...ownCommand });
    while (!progress.done) {
        const isWrite = progress.next.operation === PlatformOperation.WriteRow;
        const result = isWrite ? performWrite(platform, progress.next) : platform.answer(progress.next);
        progress = advanceAcceptance(progress.state, result);
    }
    return progress.outcome;
}

When("the platform refuses the write of {string}", function (this: World, _name: string) {
    this.outcome = runAcceptance((platform, request) => platform.answer(request, Fault.Refused));
});

Then("the revision command ends as {string}", function (this: World, code: string) {
    assert.equal((this.outcome.extract() as Problem).code, code);
});

When(
    "another operator accepts another revision before the write of {string}",
    function (this: World, _name: string) {
        this.outcome = runAcceptance((platform, request) => {
            commands.accept.actAsRival(platform);
            return platform.answer(request);
        });
    },
);

Then(
    "the revision command ends as {string} and names {string}",
    function (this: World, code: string, text: string) {
        const problem = this.outcome.extract() as Problem;
        assert.equal(problem.code, code);
        assert.ok(problem.message.includes(text), problem.message);
    },
);

When(
    "revisions 1 to 4 are listed after revision 2 was accepted and revision 3 rejected",
    function (this: World) {
        const platform = createFakePlatform();
        ["one", "two"].forEach((id, i) => submitAsRival(platform, makeAnswers(i), id));
        acceptAsRival(platform, 2, "accept");
        submitAsRival(platform, makeAnswers(3), "three");
        submitAsRival(platform, makeAnswers(4), "four");
        rejectRevision(platform, 3);
        this.outcome = runToCompletion(platform, [], startListing(), advanceListing);
    },
);

function rejectRevision(platform: FakePlatform, revision: number): void {
    const request = { revision, operator, writeId: "reject", now: 1 };
    assert.ok(runToCompletion(platform, [], startRejection(request), advanceRejection).isRight());
}

Then("the listed states are {string}", function (this: World, states: string) {
    const revisions = this.outcome.extract() as readonly Revision[];
    assert.equal(revisions.map(revision => revision.state).join(","), states);
});

When(
    "a revision with one changed field, one new service and no caller ledger is compared with the head",
    function (this: World) {
        const platform = createFakePlatform();
        const before = makeAnswers(1);
        submitAsRival(platform, before, "one");
        acceptAsRival(platform, 1, "accept");
        const { s0, s1, s2 } = before.services;
        assert.ok(s0 !== undefined && s1 !== undefined && s2 !== undefined);
        const services = { s0: { ...s0, slots: 99 }, s1, s2, s3: { ...s1 } };
        const callers = Object.fromEntries(
            Object.entries(before.callers).filter(([name]) => name !== "ledger"),
        );
        submitAsRival(platform, { ...before, services, callers }, "two");
        this.outcome = runToCompletion(platform, [], startComparison(2), advanceComparison);
    },
);

Then(
    "the difference names the added, removed and changed resources with their fields",
    function (this: World) {
        const difference = this.outcome.extract() as RevisionDifference;
        assert.deepEqual(difference.added, ["route/s3", "service/s3"]);
        assert.deepEqual(difference.removed, ["caller/ledger"]);
        assert.deepEqual(difference.changed, [
            { name: "route/s2", fields: [{ path: "callers.0", before: "caller/ledger", after: undefined }] },
            { name: "service/s0", fields: [{ path: "slots", before: 11, after: 99 }] },
        ]);
    },
);

When("the same answers are submitted with the hashes of their stored parts", function (this: World) {
    const platform = createFakePlatform();
    this.writtenObjects = 0;
    const countingPlatform: FakePlatform = {
        ...platform,
        answer: (request, fault) => {
            this.writtenObjects += request.operation === PlatformOperation.WriteObject ? 1 : 0;
            return platform.answer(request, fault);
        },
    };
    const storedHashes = new Set(makeVersion(1).parts.map(part => part.hash));
    const request = { answers: makeAnswers(1), ...ownCommand, storedHashes };
    this.outcome = runToCompletion(countingPlatform, [], startSubmission(request), advanceSubmission);
});

Then("only the answers and the manifest are written to the object store", function (this: World) {
    assert.ok(this.outcome.isRight());
    assert.equal(this.writtenObjects, 2);
});
