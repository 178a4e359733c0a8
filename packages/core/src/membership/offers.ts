import { BackendServerState, type BackendServer } from "../admission/backendServer.js";
import type { ServiceOffer } from "./record.js";

/**
 * What a host offers to others: for each service, the slots of the backend servers that take work.
 * `slotsOf` gives the configured slots of a service; the lower figure holds.
 */
export function computeOffers(
    servers: Iterable<BackendServer>,
    slotsOf: (service: string) => number | undefined,
): ServiceOffer[] {
    const offers = new Map<string, ServiceOffer>();
    for (const server of servers) {
        if (server.state === BackendServerState.Serving) {
            const { service } = server;
            const configured = slotsOf(service);
            const slots = Math.min(server.slots ?? configured ?? 0, configured ?? Number.MAX_SAFE_INTEGER);
            const known = offers.get(service) ?? { service, slots: 0, startedAt: 0 };
            const startedAt = Math.max(known.startedAt, server.incarnation);
            offers.set(service, { service, slots: known.slots + slots, startedAt });
        }
    }
    return [...offers.values()].sort((a, b) => (a.service < b.service ? -1 : 1));
}
