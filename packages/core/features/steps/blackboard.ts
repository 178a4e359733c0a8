import { Given, Then, When } from "@cucumber/cucumber";
import { createBlackboard, type Blackboard, type Feed, type Value } from "@tanagertray/core";
import assert from "node:assert/strict";
import { setImmediate } from "node:timers/promises";

interface Sections {
    temperature: Value<number>;
    alarms: Feed<number>;
}

interface World {
    board: Blackboard<Sections>;
    claimError?: unknown;
    received: number[];
}

Given("a blackboard with a value section and a feed section", function (this: World) {
    this.board = createBlackboard<Sections>({ values: { temperature: 0 }, feeds: { alarms: 4 } });
    this.received = [];
});

When("two controllers claim the value section", function (this: World) {
    this.board.claimValue("temperature");
    try {
        this.board.claimValue("temperature");
    } catch (error) {
        this.claimError = error;
    }
});

Then("the second claim throws", function (this: World) {
    assert.match(String(this.claimError), /already has a writer/);
});

When("the value section is written {int} times", async function (this: World, times: number) {
    const writer = this.board.claimValue("temperature");
    this.board.observe(["temperature"], () => this.received.push(this.board.read("temperature")));
    for (let i = 1; i <= times; i += 1) {
        writer.write(i);
    }
    await setImmediate();
});

Then("its observer ran once and read the last content", function (this: World) {
    assert.deepEqual(this.received, [3]);
});

When(
    "{int} entries are appended to the feed, whose capacity is 4",
    async function (this: World, count: number) {
        const writer = this.board.claimFeed("alarms");
        this.board.follow("alarms", entry => this.received.push(entry));
        for (let i = 1; i <= count; i += 1) {
            writer.append(i);
        }
        await setImmediate();
    },
);

Then("the follower received the last 4 entries in order", function (this: World) {
    assert.deepEqual(this.received, [3, 4, 5, 6]);
});

Then("{int} dropped entries are counted", function (this: World, count: number) {
    assert.equal(this.board.dropped().get("alarms"), count);
});
