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

/** Times of the reads of a failure domain by place in the order. */
function readAtTurns(world: World, failureDomain: string, seconds: number): readonly (readonly number[])[] {
    return Array.from({ length: world.places }, (_, place) => {
        const reads: number[] = [];
        for (let at = now; at < now + seconds * 1_000; reads.push(at)) {
            at = nextHeadTurnAt({ ...world, place, lastReadAt: at, failureDomain });
        }
        return reads;
    });
}

When("each of them reads at its turns for {int} s", function (this: World, seconds: number) {
    this.readsByPlace = readAtTurns(this, "a", seconds);
});

When(
    "the hosts of {int} failure domains read at their turns for {int} s",
    function (this: World, domains, seconds) {
        const names = Array.from({ length: domains as number }, (_, index) => `domain-${index}`);
        this.readsByPlace = names.flatMap(name => readAtTurns(this, name, seconds as number));
    },
);

const gapsOf = (times: readonly number[]) => times.slice(1).map((time, index) => time - (times[index] ?? 0));

Then("the reads of all of them are at most {int} ms apart", function (this: World, maximum: number) {
    const times = this.readsByPlace.flat().sort((a, b) => a - b);
    assert.ok(times.length > 10);
    const gapMs = Math.max(...gapsOf(times));
    assert.ok(gapMs <= maximum, `${gapMs} ms`);
});

Then("those of one host are at least {int} ms apart", function (this: World, minimum: number) {
    this.readsByPlace.forEach(reads => assert.ok(Math.min(...gapsOf(reads)) >= minimum, reads.join()));
});
