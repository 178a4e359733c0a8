import { Given, Then, When } from "@cucumber/cucumber";
import {
    addServiceTime,
    createServiceAdmission,
    limitCapacities,
    recordResponseTime,
    recordSilence,
    silenceLimitMs,
    type BackendServer,
    type Capacity,
    type ServiceAdmission,
    type ServiceTimes,
} from "@tanagertray/core";
import assert from "node:assert/strict";
import { createSeededRandom } from "../support/seededRandom.js";

interface World {
    times: ServiceTimes | undefined;
    state: ServiceAdmission;
    capacity: Capacity;
}

Given(
    /^a backend server that answered (\d+) calls in ([\d-]+) ms$/,
    function (this: World, calls: string, range: string) {
        const random = createSeededRandom(4);
        const [from = 0, to = from] = range.split("-").map(Number);
        this.times = undefined;
        for (let call = 0; call < Number(calls); call += 1) {
            this.times = addServiceTime(this.times, from + random() * (to - from));
        }
    },
);

Then(
    /^with (\d+) ms left the limit for silence is (?:none|(\d+) to (\d+) ms)$/,
    function (this: World, left: string, least: string | null, most: string | null) {
        const limit = silenceLimitMs(this.times, Number(left));
        const isExpected =
            least === null
                ? limit === undefined
                : limit !== undefined && limit >= Number(least) && limit <= Number(most);
        assert.ok(isExpected, `${limit} ms`);
    },
);

Given("a backend server with {int} slots", function (this: World, slots: number) {
    this.state = createServiceAdmission();
    this.capacity = { server: { id: "b1" } as BackendServer, slots };
});

When(/^it leaves (\d+) calls? unanswered$/, function (this: World, calls: string) {
    for (let call = 0; call < Number(calls); call += 1) {
        recordSilence(this.state, this.capacity);
    }
});

When("it answers {int} calls", function (this: World, calls: number) {
    for (let call = 0; call < calls; call += 1) {
        recordResponseTime(this.state, this.capacity, { operation: "read", elapsedMs: 100 });
    }
});

Then("{int} of its slots are used", function (this: World, slots: number) {
    const [limited] = limitCapacities([this.capacity], this.state.concurrencyLimits);
    assert.equal(limited?.slots, slots);
});
