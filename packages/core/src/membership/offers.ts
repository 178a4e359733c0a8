import { BackendServerState, type BackendServer } from "../admission/backendServer.js";
import type { ServiceOffer } from "./record.js";

/**
 * Computes the services that a host offers, each with the total slots of its backend servers that accept calls.
 * `slotsOf` returns the configured slots of a service, which limit the slots that each backend server reports.
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
            const offer = offers.get(service) ?? { service, slots: 0, startedAt: 0 };
            const startedAt = Math.max(offer.startedAt, server.incarnation);
            offers.set(service, { service, slots: offer.slots + slots, startedAt });
        }
    }
    return [...offers.values()].sort((a, b) => (a.service < b.service ? -1 : 1));
}
