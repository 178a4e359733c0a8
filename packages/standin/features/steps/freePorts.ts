import { Then, When } from "@cucumber/cucumber";
import { findFreePorts } from "@tanagertray/standin";
import assert from "node:assert/strict";

interface World {
    foundPorts: number[];
}

When(
    "{int} searches for {int} free ports follow each other",
    { timeout: 30_000 },
    async function (this: World, searches: number, count: number) {
        this.foundPorts = [];
        for (let search = 0; search < searches; search += 1) {
            this.foundPorts.push(...(await findFreePorts(count)));
        }
    },
);

Then("{int} different ports were found", function (this: World, count: number) {
    assert.equal(new Set(this.foundPorts).size, count);
});
