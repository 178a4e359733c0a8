import {
    BackendServerState,
    findTargets,
    ResourceKind,
    resourceName,
    type HostRecord,
} from "@tanagertray/core";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";

/** Writes the hosts that offer each service, from the records of the hosts. */
export function createRouting(board: Board): Closeable {
    const targets = board.claimValue("targets");
    let seen: readonly unknown[] = [];

    /** The membership also changes with each heartbeat, which moves no target. */
    function findWhenChanged(): void {
        const { self, records } = board.read("membership");
        const inputs = [self, records, board.read("configuration").held, board.read("backendServers")];
        if (inputs.some((input, at) => input !== seen[at])) {
            seen = inputs;
            findAll(self, records);
        }
    }

    function findAll(self: HostRecord, records: ReadonlyMap<string, HostRecord>): void {
        const others = [...records.values()].filter(record => record.host !== self.host);
        targets.write(findTargets(self, [...others, { ...self, offers: ownOffers() }]));
    }

    /** Own backend servers count at once, before the own record was published. */
    function ownOffers() {
        const serving = [...board.read("backendServers").values()].filter(
            server => server.state === BackendServerState.Serving,
        );
        return [...new Set(serving.map(server => server.service))].map(service => {
            const ofService = serving.filter(server => server.service === service);
            return {
                service,
                slots: ofService.reduce((sum, server) => sum + (server.slots ?? slotsOf(service)), 0),
                startedAt: Math.max(...ofService.map(server => server.firstSeenAt)),
            };
        });
    }

    function slotsOf(service: string): number {
        const resource = board
            .read("configuration")
            .held?.resources.get(resourceName(ResourceKind.Service, service));
        return resource?.kind === ResourceKind.Service ? resource.slots : 1;
    }

    findWhenChanged();
    const subscription = board.observe(["membership", "configuration", "backendServers"], findWhenChanged);
    return { close: () => subscription.close() };
}
