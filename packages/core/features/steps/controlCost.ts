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
    type RelayPlan,
} from "@tanagertray/core";
import assert from "node:assert/strict";
import { createHostHolding, makeVersion } from "../support/versions.js";

interface World {
    received: Map<string, HostRecord[]>;
    relayPlan: RelayPlan;
    distribution: Distribution;
    lookups: number;
}

function makeRecord(host: string): HostRecord {
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

const sortedHostNames = (records: readonly HostRecord[] = []) => records.map(({ host }) => host).sort();

When(
    "{int} hosts have each sent their own record and the record of {string}",
    function (this: World, count: number, shared: string) {
        const senders = Array.from({ length: count }, (_, at) => `s${at + 1}`);
        this.received = new Map(senders.map(host => [host, [makeRecord(host), makeRecord(shared)]]));
        const news = new Map([...this.received.values()].flat().map(record => [record.host, record]));
        this.relayPlan = planRelay({ received: this.received, updates: news });
    },
);

Then("each of them receives one message with the own records of the others", function (this: World) {
    const senders = [...this.received.keys()];
    for (const sender of senders) {
        const others = senders.filter(host => host !== sender);
        assert.deepEqual(sortedHostNames(this.relayPlan.toSenders.get(sender)), others);
    }
});

Then("all other links receive one message with {int} records", function (this: World, count: number) {
    assert.equal(this.relayPlan.toOthers.length, count);
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
    this.distribution = createDistribution(options);
});

When(
    "{int} ticks pass and {int} messages with host records arrive",
    function (this: World, ticks: number, messages: number) {
        const message = { kind: MessageKind.Records, records: [makeRecord("x")] };
        const incoming = { from: "x", receivedAt: 0, message };
        const inputs = [
            ...Array.from({ length: ticks }, () => ({ kind: InputKind.Tick }) as const),
            ...Array.from({ length: messages }, () => ({ kind: InputKind.Message, incoming }) as const),
        ];
        for (const input of inputs) {
            this.distribution = advanceDistribution(this.distribution, input, {
                now: 0,
                random: () => 0,
            }).state;
        }
    },
);

Then("each resource was looked up at most once", function (this: World) {
    assert.ok(this.lookups <= (this.distribution.held?.resources.size ?? 0), `${this.lookups} lookups`);
});
