import { Given, Then, When } from "@cucumber/cucumber";
import {
    advanceDistribution,
    createDistribution,
    HostState,
    InputKind,
    MessageKind,
    planRelay,
    type Distribution,
    type HostRecord,
    type Relay,
} from "@tanagertray/core";
import assert from "node:assert/strict";
import { createHostHolding, makeVersion } from "../support/versions.js";

interface World {
    received: Map<string, HostRecord[]>;
    relayed: Relay;
    holder: Distribution;
    lookups: number;
}

function recordOf(host: string): HostRecord {
    return {
        host,
        failureDomain: "a",
        region: "r",
        incarnation: 100,
        counter: 1,
        state: HostState.Alive,
        peerAddress: `${host}:1`,
        offers: [],
        version: 0,
    };
}

const namesOf = (records: readonly HostRecord[] = []) => records.map(({ host }) => host).sort();

When(
    "{int} hosts have sent one record of their own each and all of them that of {string}",
    function (this: World, count: number, shared: string) {
        const senders = Array.from({ length: count }, (_, at) => `s${at + 1}`);
        this.received = new Map(senders.map(host => [host, [recordOf(host), recordOf(shared)]]));
        const news = new Map([...this.received.values()].flat().map(record => [record.host, record]));
        this.relayed = planRelay({ received: this.received, news });
    },
);

Then("each of them gets one message with what the others sent of themselves", function (this: World) {
    const senders = [...this.received.keys()];
    for (const sender of senders) {
        const others = senders.filter(host => host !== sender);
        assert.deepEqual(namesOf(this.relayed.toSenders.get(sender)), others);
    }
});

Then("all other links get one message with {int} records", function (this: World, count: number) {
    assert.equal(this.relayed.toOthers.length, count);
});

Given("a distributing host whose resources count how often they are looked up", function (this: World) {
    const holder = createHostHolding(makeVersion(1), { services: ["s0"], outsideCallers: true });
    const { held } = holder;
    assert.ok(held);
    this.lookups = 0;
    const resources = new Map(held.resources);
    resources.has = name => {
        this.lookups += 1;
        return Map.prototype.has.call(resources, name);
    };
    const { interest } = holder;
    const options = { spread: "eager", region: "r1", interest, held: { ...held, resources } } as const;
    this.holder = createDistribution(options);
});

When(
    "{int} ticks pass and {int} messages with host records arrive",
    function (this: World, ticks: number, messages: number) {
        const message = { kind: MessageKind.Records, records: [recordOf("x")] };
        const incoming = { from: "x", receivedAt: 0, message };
        const inputs = [
            ...Array.from({ length: ticks }, () => ({ kind: InputKind.Tick }) as const),
            ...Array.from({ length: messages }, () => ({ kind: InputKind.Message, incoming }) as const),
        ];
        for (const input of inputs) {
            this.holder = advanceDistribution(this.holder, input, { now: 0, random: () => 0 }).state;
        }
    },
);

Then("each resource was looked up at most once", function (this: World) {
    assert.ok(this.lookups <= (this.holder.held?.resources.size ?? 0), `${this.lookups} lookups`);
});
