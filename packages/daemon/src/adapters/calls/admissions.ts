import {
    AdmissionKind,
    admitNext,
    capacitiesOf,
    createServiceAdmission,
    loadOf,
    refusal,
    RefusalReason,
    releaseSlot,
    removeExpired,
    removeWaiting,
    requestAdmission,
    resourceName,
    ResourceKind,
    type BackendServer,
    type Capacity,
    type Refusal,
    type Service,
    type ServiceAdmission,
    type WaitingCall,
} from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import type { Board } from "../../board.js";

/** The right to use one slot of a backend server. */
export interface Slot {
    readonly server: BackendServer;
    /** Gives the slot back; a backend server that was not reachable is avoided for a short time. */
    release(options: { readonly reachable: boolean }): void;
}

export interface Admissions {
    /** Waits for a slot. The control is aborted when the backend server has drained for as long as it may. */
    acquire(service: Service, call: WaitingCall, control: AbortController): Promise<Either<Refusal, Slot>>;
    /** Load of the service on this host, from 0 to 1. */
    load(service: Service): number;
    close(): void;
}

/** Time for which a backend server that refused a connection is avoided, in milliseconds. */
const avoidMs = 500;
const drainLimitReached = new Error("the backend server's drain limit was reached");

/** Hands out the slots of the backend servers and writes the `admissionState` section. */
export function createAdmissions(board: Board, now: () => number): Admissions {
    const section = board.claimValue("admissionState");
    const states = new Map<string, ServiceAdmission>();
    const waiting = new Map<WaitingCall, (outcome: Either<Refusal, BackendServer>) => void>();
    const held = new Map<Slot, { readonly control: AbortController; readonly service: string }>();
    const avoidedUntil = new Map<string, number>();
    section.write(states);

    function serviceOf(name: string): Service | undefined {
        const resource = board
            .read("configuration")
            .held?.resources.get(resourceName(ResourceKind.Service, name));
        return resource?.kind === ResourceKind.Service ? resource : undefined;
    }

    /** Capacities without the avoided backend servers, unless all of them are avoided. */
    function capacities(service: Service): readonly Capacity[] {
        const all = capacitiesOf(service, board.read("backendServers").values(), now());
        const reachable = all.filter(({ server }) => (avoidedUntil.get(server.id) ?? 0) <= now());
        return reachable.length > 0 ? reachable : all;
    }

    function stateOf(service: string): ServiceAdmission {
        const state = states.get(service) ?? createServiceAdmission();
        states.set(service, state);
        return state;
    }

    function createSlot(
        service: string,
        call: WaitingCall,
        server: BackendServer,
        control: AbortController,
    ): Slot {
        const takenAt = now();
        const slot: Slot = {
            server,
            release({ reachable }) {
                if (!reachable) {
                    avoidedUntil.set(server.id, now() + avoidMs);
                }
                if (held.delete(slot)) {
                    releaseSlot(stateOf(service), call.partner, server.id, now() - takenAt);
                    pump(service);
                }
            },
        };
        held.set(slot, { control, service });
        return slot;
    }

    /** Hands free slots to waiting calls. */
    function pump(name: string): void {
        const service = serviceOf(name);
        const state = states.get(name);
        if (service === undefined || state === undefined || state.queued === 0) {
            return;
        }
        const current = capacities(service);
        if (current.length === 0) {
            const all = [...state.partners.values()].flatMap(use => use.queue);
            all.forEach(call => removeWaiting(state, call));
            return all.forEach(call => answer(call, Left(refusal(RefusalReason.NoBackendServer))));
        }
        for (let next = admitNext(state, current); next !== undefined; next = admitNext(state, current)) {
            answer(next.call, Right(next.server));
        }
    }

    function answer(call: WaitingCall, outcome: Either<Refusal, BackendServer>): void {
        waiting.get(call)?.(outcome);
        waiting.delete(call);
    }

    function acquire(service: Service, call: WaitingCall, control: AbortController) {
        const state = stateOf(service.name);
        const decision = requestAdmission(state, call, capacities(service), now());
        return new Promise<Either<Refusal, Slot>>(resolve => {
            const handlers = {
                [AdmissionKind.Admitted]: ({ server }: { server: BackendServer }) =>
                    resolve(Right(createSlot(service.name, call, server, control))),
                [AdmissionKind.Refused]: (refused: { refusal: Refusal }) => resolve(Left(refused.refusal)),
                [AdmissionKind.Queued]: ({ dropped }: { dropped?: WaitingCall }) => {
                    waiting.set(call, outcome =>
                        resolve(outcome.map(server => createSlot(service.name, call, server, control))),
                    );
                    control.signal.addEventListener("abort", () => leave(state, call), { once: true });
                    if (dropped !== undefined) {
                        answer(dropped, Left(refusal(RefusalReason.OverShare)));
                    }
                },
            } satisfies Record<AdmissionKind, (decision: never) => void>;
            handlers[decision.kind](decision as never);
        });
    }

    function leave(state: ServiceAdmission, call: WaitingCall): void {
        if (removeWaiting(state, call)) {
            answer(call, Left(refusal(RefusalReason.DeadlinePassed)));
        }
    }

    function tick(): void {
        for (const [service, state] of states) {
            const expired = removeExpired(state, now());
            expired.forEach(call => answer(call, Left(refusal(RefusalReason.WaitTooLong))));
            pump(service);
        }
        for (const [slot, { control, service }] of held) {
            const server = board.read("backendServers").get(slot.server.id);
            const drainMs = serviceOf(service)?.drainMs ?? Infinity;
            if (
                server?.incarnation === slot.server.incarnation &&
                now() - (server.drainingSince ?? Infinity) > drainMs
            ) {
                control.abort(drainLimitReached);
            }
        }
    }

    function followServers(): void {
        const known = board.read("backendServers");
        [...avoidedUntil.keys()].filter(id => !known.has(id)).forEach(id => avoidedUntil.delete(id));
        const offered = new Set([...board.read("backendServers").values()].map(server => server.service));
        for (const [service, state] of states) {
            pump(service);
            if (!offered.has(service) && state.partners.size === 0) {
                states.delete(service);
            }
        }
    }

    const subscriptions = [
        board.observe(["clock"], tick),
        board.observe(["backendServers", "configuration"], followServers),
    ];
    return {
        acquire,
        load: service => loadOf(states.get(service.name), capacities(service)),
        close: () => subscriptions.forEach(subscription => subscription.close()),
    };
}
