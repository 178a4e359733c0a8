import { Then, When } from "@cucumber/cucumber";
import { formatMistake, ProblemCode, type Problem } from "@tanagertray/core";
import { checkSettings, readSettings } from "@tanagertray/daemon";
import fc from "fast-check";
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { validSettings } from "./validSettings.js";

interface World {
    mistakes: readonly Problem[];
    run: { status: number | null; stderr: string };
}

const goldenFolder = "packages/daemon/features/golden";
/** Fixed, so that every run checks the same inputs. */
const seed = 20_262;

function findMistakes(text: string): readonly Problem[] {
    return readSettings(text).swap().orDefault([]);
}

When("the settings file {string} is checked", function (this: World, file: string) {
    this.mistakes = findMistakes(readFileSync(`${goldenFolder}/${file}`, "utf8"));
});

When("the settings text {string} is checked", function (this: World, text: string) {
    this.mistakes = findMistakes(text);
    assert.ok(this.mistakes.length > 0);
});

Then("the settings mistakes equal the golden file {string}", function (this: World, file: string) {
    const text = this.mistakes.map(mistake => `${formatMistake(mistake)}\n`).join("");
    assert.equal(text, readFileSync(`${goldenFolder}/${file}`, "utf8"));
});

Then("no settings mistake contains the text {string}", function (this: World, text: string) {
    assert.ok(!JSON.stringify(this.mistakes).includes(text));
});

Then(
    "{int} random settings and mutations of valid settings result in settings or typed mistakes",
    function (this: World, numRuns: number) {
        const valid = JSON.stringify(validSettings());
        assert.deepEqual(findMistakes(valid), []);
        const mutation = fc.tuple(fc.nat(valid.length), fc.nat(12), fc.string({ maxLength: 6 }));
        const mutated = mutation.map(
            ([at, cut, insert]) => valid.slice(0, at) + insert + valid.slice(at + cut),
        );
        fc.assert(
            fc.property(mutated, text => isTyped(findMistakes(text))),
            { seed, numRuns },
        );
        fc.assert(
            fc.property(
                fc.oneof(fc.jsonValue(), fc.record({ listen: fc.jsonValue(), keys: fc.jsonValue() })),
                settings => isTyped(checkSettings(settings).swap().orDefault([])),
            ),
            { seed, numRuns },
        );
    },
);

function isTyped(mistakes: readonly Problem[]): boolean {
    const codes: readonly string[] = [ProblemCode.InvalidSetting, ProblemCode.Unreadable];
    return mistakes.every(
        mistake => codes.includes(mistake.code) && mistake.message !== "" && mistake.where !== undefined,
    );
}

When("tanagertrayd checks the settings file {string}", function (this: World, file: string) {
    const main = "packages/daemon/dist/main.js";
    const run = spawnSync(process.execPath, [main, "--check", "--settings", `${goldenFolder}/${file}`], {
        encoding: "utf8",
    });
    this.run = { status: run.status, stderr: run.stderr };
});

Then(
    "tanagertrayd exits with 2 and its error output equals the golden file {string}",
    function (this: World, file: string) {
        assert.equal(this.run.stderr, readFileSync(`${goldenFolder}/${file}`, "utf8"));
        assert.equal(this.run.status, 2);
    },
);
