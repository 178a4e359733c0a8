import { Then, When } from "@cucumber/cucumber";
import { createBucketMap } from "@tanagertray/core";
import fc from "fast-check";
import assert from "node:assert/strict";

const seed = 20_240_613;

When("random changes are made to a bucket map and to a plain map", function () {
    // The property is checked in the next step.
});

Then("both maps agree after every change and older copies stay as they were", function () {
    const host = fc.integer({ min: 0, max: 30 }).map(at => `a${at}`);
    const change = fc.tuple(host, fc.option(fc.nat(), { nil: undefined }));
    fc.assert(
        fc.property(fc.array(fc.array(change, { maxLength: 5 })), batches => {
            const snapshots: [ReadonlyMap<string, number>, Map<string, number>][] = [];
            const plainMap = new Map<string, number>();
            let bucketMap = createBucketMap<number>();
            for (const batch of batches) {
                bucketMap = bucketMap.withChanges(new Map(batch));
                new Map(batch).forEach((item, key) =>
                    item === undefined ? plainMap.delete(key) : plainMap.set(key, item),
                );
                snapshots.push([bucketMap, new Map(plainMap)]);
            }
            for (const [copy, expected] of snapshots) {
                assert.equal(copy.size, expected.size);
                assert.deepEqual(new Map(copy), expected);
                expected.forEach((item, key) => assert.equal(copy.get(key), item));
            }
        }),
        { seed, numRuns: 200 },
    );
});
