import { createObservation, type HostObservation } from "@tanagertray/core";
import type { Board } from "../../board.js";

export interface Observations {
    /** Observations by host name. */
    ofService(service: string): ReadonlyMap<string, HostObservation>;
    /** Returns the observation of one host, created if missing. Only the call adapter may change it. */
    ofHost(service: string, host: string): HostObservation;
    close(): void;
}

/** Writes the `hostObservations` section. Hosts that no longer offer a service are removed. */
export function createObservations(board: Board): Observations {
    const section = board.claimValue("hostObservations");
    const services = new Map<string, Map<string, HostObservation>>();
    section.write(services);

    function removeStaleHosts(): void {
        const targets = board.read("targets");
        for (const [service, hosts] of services) {
            const tiers = Object.values(targets.get(service) ?? {});
            const offered = new Set(tiers.flat().map(target => target.host));
            const staleHosts = [...hosts].filter(
                ([host, observation]) => !offered.has(host) && observation.inFlight === 0,
            );
            staleHosts.forEach(([host]) => hosts.delete(host));
            if (hosts.size === 0) {
                services.delete(service);
            }
        }
    }

    const subscription = board.observe(["targets"], removeStaleHosts);
    return {
        ofService: service => services.get(service) ?? new Map(),
        ofHost(service, host) {
            const hosts = services.get(service) ?? new Map<string, HostObservation>();
            services.set(service, hosts);
            const observation = hosts.get(host) ?? createObservation();
            hosts.set(host, observation);
            return observation;
        },
        close: () => subscription.close(),
    };
}
