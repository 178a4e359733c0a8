import { Given, Then, When } from "@cucumber/cucumber";
import { nextHeadTurnAt } from "@tanagertray/core";
import assert from "node:assert/strict";

interface World {
    places: number;
    freshnessMs: number;
    answeredAt: number;
    /** Times of the reads by place in the order. */
    readsByPlace: readonly (readonly number[])[];
}

const now = 50_000;

Given(
    "an order of {int} hosts that the platform answered {int} ms ago, with a freshness limit of {int} ms",
    function (this: World, places: number, agoMs: number, freshnessMs: number) {
        Object.assign(this, { places, freshnessMs, answeredAt: now - agoMs });
    },
);

When("each of them reads at its turns for {int} s", function (this: World, seconds: number) {
    this.readsByPlace = Array.from({ length: this.places }, (_, place) => {
        const reads: number[] = [];
        for (let at = now; at < now + seconds * 1_000; reads.push(at)) {
            at = nextHeadTurnAt({ ...this, place, lastReadAt: at });
        }
        return reads;
    });
});

const gapsOf = (times: readonly number[]) => times.slice(1).map((time, index) => time - (times[index] ?? 0));

Then("the reads of all of them are at most {int} ms apart", function (this: World, maximum: number) {
    const times = this.readsByPlace.flat().sort((a, b) => a - b);
    assert.ok(times.length > 10);
    assert.ok(Math.max(...gapsOf(times)) <= maximum, times.join());
});

Then("those of one host are at least {int} ms apart", function (this: World, minimum: number) {
    this.readsByPlace.forEach(reads => assert.ok(Math.min(...gapsOf(reads)) >= minimum, reads.join()));
});
