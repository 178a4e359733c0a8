import { Then } from "@cucumber/cucumber";
import type { HostTable, Topology } from "@tanagertray/core";
import assert from "node:assert/strict";

interface World {
    table: HostTable;
    topologies: ReadonlyMap<string, Topology>;
}

Then("the hosts of a domain agree on the 3 that read the head row, which are linked", function (this: World) {
    const orders = new Map<string, Set<string>>();
    for (const [host, { headReaders, neighbours }] of this.topologies) {
        const domain = this.table.records.get(host)?.failureDomain ?? "";
        orders.set(domain, (orders.get(domain) ?? new Set()).add(headReaders.join()));
        assert.equal(headReaders.length, 3);
        const linked = new Set([host, ...neighbours.map(neighbour => neighbour.host)]);
        assert.ok(!headReaders.includes(host) || headReaders.every(reader => linked.has(reader)));
    }
    assert.ok([...orders.values()].every(({ size }) => size === 1));
});

Then(
    "a host without a role has at most {int} neighbours, and one that may read the head row at most {int}",
    function (this: World, maxNeighbours: number, maxReaderNeighbours: number) {
        for (const [host, { domainRelay, headReaders, neighbours }] of this.topologies) {
            const limit = headReaders.includes(host) ? maxReaderNeighbours : maxNeighbours;
            assert.ok(domainRelay || neighbours.length <= limit);
        }
    },
);
