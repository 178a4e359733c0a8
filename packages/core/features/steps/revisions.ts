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
    type Run,
    operator,
    own,
    type CommandName,
    drive,
    submit,
    accept,
    headOf,
    revisionOf,
    commands,
    headWrites,
    runCommand,
    requestsBeforeWrite,
} from "../support/revisionRuns.js";
import { makeAnswers, makeVersion } from "../support/versions.js";

interface World {
    runs: Run[];
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
    "{string} runs with {int} random lists of faults",
    function (this: World, name: CommandName, count: number) {
        this.command = name;
        const faults = fc.array(fc.constantFrom(...Object.values(Fault)), { maxLength: 14 });
        this.runs = fc.sample(faults, { seed: 99, numRuns: count }).map(list => runCommand(name, list));
    },
);

When(
    "{string} runs with every sequence of 4 faults from its write of a row on",
    function (this: World, name: CommandName) {
        this.command = name;
        const before = Array<Fault>(requestsBeforeWrite[name]()).fill(Fault.None);
        const faults = Object.values(Fault);
        const pairs = faults.flatMap(first => faults.map(second => [first, second]));
        this.runs = pairs.flatMap(first =>
            pairs.map(second => runCommand(name, [...before, ...first, ...second])),
        );
        assert.equal(this.runs.length, faults.length ** 4);
    },
);

When("{string} meets the faults {string}", function (this: World, name: CommandName, faults: string) {
    this.command = name;
    this.runs = [runCommand(name, faults.split(",") as Fault[])];
});

When(
    "{string} meets the faults {string} from its write of a row on",
    function (this: World, name: CommandName, faults: string) {
        this.command = name;
        const before = Array<Fault>(requestsBeforeWrite[name]()).fill(Fault.None);
        this.runs = [runCommand(name, [...before, ...(faults.split(",") as Fault[])])];
    },
);

When(
    "a revision based on version 1 is accepted with {int} stale reads of the head row",
    function (this: World, times: number) {
        const platform = createFakePlatform();
        submit(platform, makeAnswers(1), "one");
        accept(platform, 1, "accept");
        submit(platform, makeAnswers(2), "two");
        const faults = [Fault.None, ...Array<Fault>(times).fill(Fault.Stale)];
        const start = startAcceptance({ revision: 2, ...own });
        this.outcome = drive(platform, faults, start, advanceAcceptance);
        this.runs = [{ faults, platform, outcome: this.outcome }];
    },
);

Then(
    "the acceptance ends as {string} after {int} writes of the head row",
    function (this: World, outcome: string, writes: number) {
        const ended = this.outcome.caseOf({ Left: ({ code }) => code as string, Right: () => "accepted" });
        assert.equal(ended, outcome);
        assert.equal(headWrites((this.runs[0] as Run).platform).length, writes);
    },
);

Then("each revision command took effect at most once and told the truth", function (this: World) {
    for (const { platform, outcome, faults } of this.runs) {
        const effects = commands[this.command].effects(platform);
        const told = `${faults.join(",")}: ${effects} effects, ${JSON.stringify(outcome.extract())}`;
        assert.ok(effects <= 1, told);
        const reason = outcome.isLeft() ? (outcome.extract() as Problem) : undefined;
        if (reason?.code !== ProblemCode.OutcomeUnknown) {
            assert.equal(effects, reason === undefined ? 1 : 0, told);
        }
        const versions = headWrites(platform).map(change => change.version);
        assert.deepEqual(
            versions,
            versions.map((_, i) => i + 1),
            told,
        );
        const isAccepted = headOf(platform)?.history.some(change => change.revision === 1) ?? false;
        assert.ok(!(isAccepted && revisionOf(platform, 1)?.state === "rejected"), told);
    }
});

Then("each of {string} alone let it succeed at least once", function (this: World, faults: string) {
    for (const fault of faults.split(",")) {
        const runs = this.runs.filter(run => run.faults.at(-1) === fault);
        assert.ok(
            runs.some(run => run.outcome.isRight()),
            fault,
        );
    }
});

function driveUntilWrite(act: (platform: FakePlatform, request: PlatformRequest) => PlatformResult) {
    const platform = createFakePlatform();
    submit(platform, makeAnswers(1), "one");
    submit(platform, makeAnswers(2), "two");
    let progress = startAcceptance({ revision: 1, ...own });
    while (!progress.done) {
        const isWrite = progress.next.operation === PlatformOperation.WriteRow;
        const result = isWrite ? act(platform, progress.next) : platform.answer(progress.next);
        progress = advanceAcceptance(progress.state, result);
    }
    return progress.outcome;
}

When("{string} is refused at its write", function (this: World, _name: string) {
    this.outcome = driveUntilWrite((platform, request) => platform.answer(request, Fault.Refused));
});

Then("the revision command ends as {string}", function (this: World, code: string) {
    assert.equal((this.outcome.extract() as Problem).code, code);
});

When("a rival accepts another revision before the write of {string}", function (this: World, _name: string) {
    this.outcome = driveUntilWrite((platform, request) => {
        commands.accept.rival(platform);
        return platform.answer(request);
    });
});

Then(
    "the revision command ends as {string} and names {string}",
    function (this: World, code: string, text: string) {
        const reason = this.outcome.extract() as Problem;
        assert.equal(reason.code, code);
        assert.ok(reason.message.includes(text), reason.message);
    },
);

When(
    "revisions 1 to 4 are listed after revision 2 was accepted and revision 3 rejected",
    function (this: World) {
        const platform = createFakePlatform();
        ["one", "two"].forEach((id, i) => submit(platform, makeAnswers(i), id));
        accept(platform, 2, "accept");
        submit(platform, makeAnswers(3), "three");
        submit(platform, makeAnswers(4), "four");
        rejectRevision(platform, 3);
        this.outcome = drive(platform, [], startListing(), advanceListing);
    },
);

function rejectRevision(platform: FakePlatform, revision: number): void {
    const request = { revision, operator, writeId: "reject", now: 1 };
    assert.ok(drive(platform, [], startRejection(request), advanceRejection).isRight());
}

Then("the listed states are {string}", function (this: World, states: string) {
    const listed = this.outcome.extract() as readonly Revision[];
    assert.equal(listed.map(revision => revision.state).join(","), states);
});

When(
    "a revision with one changed field, one new service and no ledger is compared with the head",
    function (this: World) {
        const platform = createFakePlatform();
        const before = makeAnswers(1);
        submit(platform, before, "one");
        accept(platform, 1, "accept");
        const { s0, s1, s2 } = before.services;
        assert.ok(s0 !== undefined && s1 !== undefined && s2 !== undefined);
        const services = { s0: { ...s0, slots: 99 }, s1, s2, s3: { ...s1 } };
        const callers = Object.fromEntries(
            Object.entries(before.callers).filter(([name]) => name !== "ledger"),
        );
        submit(platform, { ...before, services, callers }, "two");
        this.outcome = drive(platform, [], startComparison(2), advanceComparison);
    },
);

Then(
    "the difference names the added, removed and changed resources with their fields",
    function (this: World) {
        const found = this.outcome.extract() as RevisionDifference;
        assert.deepEqual(found.added, ["route/s3", "service/s3"]);
        assert.deepEqual(found.removed, ["caller/ledger"]);
        assert.deepEqual(found.changed, [
            { name: "route/s2", fields: [{ path: "callers.0", before: "caller/ledger", after: undefined }] },
            { name: "service/s0", fields: [{ path: "slots", before: 11, after: 99 }] },
        ]);
    },
);

When("the same answers are submitted with the hashes of the held manifest", function (this: World) {
    const platform = createFakePlatform();
    this.writtenObjects = 0;
    const counting: FakePlatform = {
        ...platform,
        answer: (request, fault) => {
            this.writtenObjects += request.operation === PlatformOperation.WriteObject ? 1 : 0;
            return platform.answer(request, fault);
        },
    };
    const storedHashes = new Set(makeVersion(1).parts.map(part => part.hash));
    const request = { answers: makeAnswers(1), ...own, storedHashes };
    this.outcome = drive(counting, [], startSubmission(request), advanceSubmission);
});

Then("only the answers and the manifest are written to the object store", function (this: World) {
    assert.ok(this.outcome.isRight());
    assert.equal(this.writtenObjects, 2);
});
