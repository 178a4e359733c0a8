import { Then } from "@cucumber/cucumber";
import { isPublicationDue, type PublicationState } from "@tanagertray/core";
import assert from "node:assert/strict";

interface World {
    publication: PublicationState;
}

Then(
    "a lag is published {float} s to {float} s after its start, evenly over the hosts",
    function (this: World, first: number, last: number) {
        const start = this.publication.now;
        for (const lagShare of [0, 0.25, 0.5, 0.999]) {
            const lagging = { ...this.publication, laggingSince: start, lagShare };
            const dueAt = start + Math.ceil((first + lagShare * (last - first)) * 1_000);
            assert.equal(isPublicationDue({ ...lagging, now: dueAt - 2 }), false);
            assert.equal(isPublicationDue({ ...lagging, now: dueAt + 1 }), true);
        }
    },
);
