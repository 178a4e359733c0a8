import { createObservation, type HostObservation } from "@tanagertray/core";
import type { Board } from "../../board.js";

export interface Observations {
    of(service: string): ReadonlyMap<string, HostObservation>;
    /** The observation of one host, to be changed by the call adapter alone. */
    at(service: string, host: string): HostObservation;
    close(): void;
}

/** Writes the `hostObservations` section; hosts that no longer offer a service are forgotten. */
export function createObservations(board: Board): Observations {
    const section = board.claimValue("hostObservations");
    const services = new Map<string, Map<string, HostObservation>>();
    section.write(services);

    function forgetGone(): void {
        const targets = board.read("targets");
        for (const [service, hosts] of services) {
            const tiers = Object.values(targets.get(service) ?? {});
            const offered = new Set(tiers.flat().map(target => target.host));
            const gone = [...hosts].filter(([host, seen]) => !offered.has(host) && seen.inFlight === 0);
            gone.forEach(([host]) => hosts.delete(host));
            if (hosts.size === 0) {
                services.delete(service);
            }
        }
    }

    const subscription = board.observe(["targets"], forgetGone);
    return {
        of: service => services.get(service) ?? new Map(),
        at(service, host) {
            const hosts = services.get(service) ?? new Map<string, HostObservation>();
            services.set(service, hosts);
            const seen = hosts.get(host) ?? createObservation();
            hosts.set(host, seen);
            return seen;
        },
        close: () => subscription.close(),
    };
}
