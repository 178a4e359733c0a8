import type { Service } from "../configuration/resource.js";
import { hasValidLease } from "./announcement.js";
import { BackendServerState, type BackendServer } from "./backendServer.js";
import type { ServiceAdmission } from "./admission.js";

/** A backend server and the number of calls that it may process concurrently. */
export interface Capacity {
    readonly server: BackendServer;
    readonly slots: number;
}

/** Returns the backend servers of a service that accept calls; the lower of the announced and configured limits applies. */
export function availableCapacities(
    service: Service,
    servers: Iterable<BackendServer>,
    now: number,
): readonly Capacity[] {
    return [...servers]
        .filter(
            server =>
                server.service === service.name &&
                server.state === BackendServerState.Serving &&
                hasValidLease(server, now),
        )
        .map(server => ({
            server,
            slots: Math.min(
                service.slots,
                service.connections,
                server.slots ?? Infinity,
                server.connections ?? Infinity,
            ),
        }))
        .filter(({ slots }) => slots > 0);
}

/** Returns the backend server with a free slot that uses the smallest share of its slots; `undefined` if all are in use. */
export function leastUsedServer(
    state: ServiceAdmission,
    capacities: readonly Capacity[],
): BackendServer | undefined {
    const utilization = ({ server, slots }: Capacity) => (state.inUse.get(server.id) ?? 0) / slots;
    const free = capacities
        .filter(capacity => utilization(capacity) < 1)
        .sort((a, b) => utilization(a) - utilization(b));
    return free[0]?.server;
}

/** Calls in a slot or in the queue, relative to the service's slots on this host, from 0 to 1; 1 if there are no slots. */
export function loadOf(state: ServiceAdmission | undefined, capacities: readonly Capacity[]): number {
    const slots = capacities.reduce((sum, capacity) => sum + capacity.slots, 0);
    const used = capacities.reduce((sum, { server }) => sum + (state?.inUse.get(server.id) ?? 0), 0);
    return slots === 0 ? 1 : Math.min(1, (used + (state?.queued ?? 0)) / slots);
}
