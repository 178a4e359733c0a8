import { Then, When } from "@cucumber/cucumber";
import {
    applyDelta,
    assembleConfiguration,
    diffManifests,
    manifestHashOf,
    neededResourceNames,
    validateManifest,
    type Manifest,
    type Part,
} from "@tanagertray/core";
import assert from "node:assert/strict";
import { makeDanglingVersion, makeVersion, type Version } from "../support/versions.js";

interface World {
    outcome: string;
}

const assemblyInputs: Readonly<Record<string, () => { manifest: Manifest; parts: readonly Part[] }>> = {
    "whole parts": () => makeVersion(2),
    "a corrupt part": () => {
        const { manifest, parts } = makeVersion(2);
        return { manifest, parts: parts.map(part => ({ ...part, bytes: Buffer.from("corrupt") })) };
    },
    "a missing part": () => ({ ...makeVersion(2), parts: [] }),
    "dangling routes": () => {
        const { manifest, objects } = makeDanglingVersion(2, { declared: false });
        return { manifest, parts: objects };
    },
};

When("version 2 is assembled from {string}", function (this: World, name: string) {
    const { manifest, parts } = (assemblyInputs[name] as (typeof assemblyInputs)[string])();
    const assembled = assembleConfiguration({
        manifest,
        manifestHash: manifestHashOf(manifest),
        parts: new Map(parts.map(({ hash, bytes }) => [hash, bytes])),
        needed: neededResourceNames(manifest, { services: ["s0"], outsideCallers: false }),
    });
    this.outcome = assembled.caseOf({ Left: ({ code }) => code, Right: () => "assembled" });
});

When("the step from version 2 to version 3 is applied to version 1", function (this: World) {
    const [one, two, three] = [1, 2, 3].map(makeVersion) as [Version, Version, Version];
    const delta = diffManifests(two.manifest, three.manifest);
    const step = { base: 2, version: 3, manifestHash: three.hash, delta };
    const applied = applyDelta(one.manifest, step);
    this.outcome = applied.caseOf({ Left: ({ code }) => code, Right: () => "applied" });
});

When("a manifest with a declared dangling reference is checked", function (this: World) {
    const { manifest, hash } = makeDanglingVersion(2, { declared: true });
    const checked = validateManifest(manifest, 2, hash);
    this.outcome = checked.caseOf({ Left: ({ code }) => code, Right: () => "accepted" });
});

Then("the validation result is {string}", function (this: World, code: string) {
    assert.equal(this.outcome, code);
});
