import { Then, When } from "@cucumber/cucumber";
import {
    assembleConfiguration,
    manifestHashOf,
    neededResources,
    type Manifest,
    type Part,
} from "@tanagertray/core";
import assert from "node:assert/strict";
import { makeDanglingVersion, makeVersion } from "../support/versions.js";

interface World {
    assembled: string;
}

const partsForAssembly: Readonly<Record<string, () => { manifest: Manifest; parts: readonly Part[] }>> = {
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
    const { manifest, parts } = (partsForAssembly[name] as (typeof partsForAssembly)[string])();
    const assembled = assembleConfiguration({
        manifest,
        manifestHash: manifestHashOf(manifest),
        parts: new Map(parts.map(({ hash, bytes }) => [hash, bytes])),
        needed: neededResources(manifest, { services: ["s0"], outsideCallers: false }),
    });
    this.assembled = assembled.caseOf({ Left: ({ code }) => code, Right: () => "assembled" });
});

Then("the assembly ends as {string}", function (this: World, code: string) {
    assert.equal(this.assembled, code);
});
