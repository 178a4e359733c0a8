import { Then, When } from "@cucumber/cucumber";
import {
    checkAnswers,
    formatMistake,
    pathsOverlap,
    ProblemCode,
    readAnswers,
    type Problem,
} from "@tanagertray/core";
import fc from "fast-check";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";

interface World {
    mistakes: readonly Problem[];
}

const golden = "packages/core/features/golden";
/** Fixed, so that every run tests the same inputs. */
const seed = 20_261;

const validAnswers = JSON.stringify({
    deployment: "demo",
    partners: { ponds: { share: 2 } },
    services: {
        board: {
            slots: 20,
            connections: 130,
            operations: [{ name: "read", method: "GET", path: "/**", repeatable: true }],
        },
    },
    callers: { crews: { partner: "ponds", mayCall: ["board"] } },
});

function mistakesOf(text: string): readonly Problem[] {
    return readAnswers(text).swap().orDefault([]);
}

When("the answers file {string} is checked", function (this: World, file: string) {
    this.mistakes = mistakesOf(readFileSync(`${golden}/${file}`, "utf8"));
});

When("the answers text {string} is checked", function (this: World, text: string) {
    this.mistakes = mistakesOf(text);
});

When("an answers text with {int} nested lists is checked", function (this: World, depth: number) {
    this.mistakes = mistakesOf("[".repeat(depth));
});

Then("the answer mistakes equal the golden file {string}", function (this: World, file: string) {
    const text = this.mistakes.map(mistake => `${formatMistake(mistake)}\n`).join("");
    assert.equal(text, readFileSync(`${golden}/${file}`, "utf8"));
});

Then("the first answer mistake is reported at {string}", function (this: World, location: string) {
    assert.equal(this.mistakes[0]?.where, location);
    assert.equal(this.mistakes[0]?.code, ProblemCode.Unreadable);
});

Then(
    "{int} random answers and mutations of valid answers give answers or typed mistakes",
    function (this: World, numRuns: number) {
        assert.deepEqual(mistakesOf(validAnswers), []);
        const mutation = fc.tuple(fc.nat(validAnswers.length), fc.nat(12), fc.string({ maxLength: 6 }));
        const mutated = mutation.map(
            ([at, cut, insert]) => validAnswers.slice(0, at) + insert + validAnswers.slice(at + cut),
        );
        fc.assert(
            fc.property(mutated, text => isTyped(mistakesOf(text))),
            { seed, numRuns },
        );
        const value = fc.record(
            {
                deployment: fc.anything(),
                services: fc.dictionary(fc.string(), fc.anything()),
                callers: fc.dictionary(fc.string(), fc.anything()),
                partners: fc.anything(),
            },
            { requiredKeys: [] },
        );
        fc.assert(
            fc.property(fc.oneof(fc.jsonValue(), value), answers =>
                isTyped(checkAnswers(answers).swap().orDefault([])),
            ),
            { seed, numRuns },
        );
    },
);

function isTyped(mistakes: readonly Problem[]): boolean {
    const codes: readonly string[] = [ProblemCode.InvalidAnswer, ProblemCode.Unreadable];
    return mistakes.every(
        mistake => codes.includes(mistake.code) && mistake.message !== "" && mistake.where !== undefined,
    );
}

Then(
    /^the paths "([^"]*)" and "([^"]*)" overlap: (true|false)$/,
    function (first: string, second: string, overlap: string) {
        assert.equal(pathsOverlap(first, second), overlap === "true");
        assert.equal(pathsOverlap(second, first), overlap === "true");
    },
);
