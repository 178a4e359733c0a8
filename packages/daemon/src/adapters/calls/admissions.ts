import {
    AdmissionKind,
    admitNext,
    availableCapacities,
    createServiceAdmission,
    loadOf,
    refusal,
    RefusalReason,
    releaseSlot,
    refusalBeforeBody,
    reportCapacity,
    removeExpired,
    removeWaiting,
    requestAdmission,
    resourceName,
    ResourceKind,
    type BackendServer,
    type Capacity,
    type CapacityReport,
    type Refusal,
    type Service,
    type ServiceAdmission,
    type WaitingCall,
} from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import type { Board } from "../../board.js";
import type { Cancellation } from "./cancellation.js";

/** The right to use one slot of a backend server. */
export interface Slot {
    readonly server: BackendServer;
    /** Gives the slot back; a backend server that was not reachable is avoided for a short time. */
    release(options: { readonly reachable: boolean }): void;
}

export interface Admissions {
    /** Waits for a slot. The control is aborted when the backend server has drained for as long as it may. */
    acquire(service: Service, call: WaitingCall, control: Cancellation): Promise<Either<Refusal, Slot>>;
    /** Why the call would be refused, asked before its body is received. */
    refusalBeforeBody(service: Service, call: WaitingCall, bodyMs: number): Refusal | undefined;
    /** Load of the service on this host, from 0 to 1. */
    load(service: Service): number;
    report(service: Service): CapacityReport | undefined;
    close(): void;
}

/** Time for which a backend server that refused a connection is avoided, in milliseconds. */
const avoidMs = 500;
const drainLimitReached = new Error("the backend server's drain limit was reached");

/** What the functions below share; `createAdmissions` makes one. */
interface Admitting {
    readonly board: Board;
    readonly now: () => number;
    readonly states: Map<string, ServiceAdmission>;
    readonly waiting: Map<WaitingCall, (outcome: Either<Refusal, BackendServer>) => void>;
    readonly held: Map<Slot, { readonly control: Cancellation; readonly service: string }>;
    readonly avoidedUntil: Map<string, number>;
}

export interface AdmissionsOptions {
    readonly now: () => number;
    /**
     * Calls whose bodies are still on their way, which a report of the capacity counts.
     * @default () => 0
     */
    readonly arriving?: () => number;
}

/** Hands out the slots of the backend servers and writes the `admissionState` section. */
export function createAdmissions(board: Board, { now, arriving = () => 0 }: AdmissionsOptions): Admissions {
    const admitting: Admitting = {
        board,
        now,
        states: new Map(),
        waiting: new Map(),
        held: new Map(),
        avoidedUntil: new Map(),
    };
    board.claimValue("admissionState").write(admitting.states);
    const subscriptions = [
        board.observe(["clock"], () => {
            expireWaiting(admitting);
            applyDrainLimits(admitting);
        }),
        board.observe(["backendServers", "configuration"], () => followServers(admitting)),
    ];
    return {
        acquire: (service, call, control) => acquire(admitting, service, call, control),
        refusalBeforeBody: (service, call, bodyMs) =>
            refusalBeforeBody(stateOf(admitting, service.name), call, capacities(admitting, service), {
                now: now(),
                bodyMs,
            }),
        load: service => loadOf(admitting.states.get(service.name), capacities(admitting, service)),
        report: service =>
            reportCapacity(admitting.states.get(service.name), capacities(admitting, service), arriving()),
        close: () => subscriptions.forEach(subscription => subscription.close()),
    };
}

function serviceOf(board: Board, name: string): Service | undefined {
    const resources = board.read("configuration").held?.resources;
    const resource = resources?.get(resourceName(ResourceKind.Service, name));
    return resource?.kind === ResourceKind.Service ? resource : undefined;
}

/** Capacities without the avoided backend servers, unless all of them are avoided. */
function capacities({ board, now, avoidedUntil }: Admitting, service: Service): readonly Capacity[] {
    const all = availableCapacities(service, board.read("backendServers").values(), now());
    const reachable = all.filter(({ server }) => (avoidedUntil.get(server.id) ?? 0) <= now());
    return reachable.length > 0 ? reachable : all;
}

function stateOf({ states }: Admitting, service: string): ServiceAdmission {
    const state = states.get(service) ?? createServiceAdmission();
    states.set(service, state);
    return state;
}

function createSlot(
    admitting: Admitting,
    service: string,
    call: WaitingCall,
    server: BackendServer,
    control: Cancellation,
): Slot {
    const { now, held, avoidedUntil } = admitting;
    const takenAt = now();
    const slot: Slot = {
        server,
        release({ reachable }) {
            if (!reachable) {
                avoidedUntil.set(server.id, now() + avoidMs);
            }
            if (held.delete(slot)) {
                releaseSlot(stateOf(admitting, service), call, server.id, now() - takenAt);
                pump(admitting, service);
            }
        },
    };
    held.set(slot, { control, service });
    return slot;
}

/** Hands free slots to waiting calls. */
function pump(admitting: Admitting, name: string): void {
    const service = serviceOf(admitting.board, name);
    const state = admitting.states.get(name);
    if (service === undefined || state === undefined || state.queued === 0) {
        return;
    }
    const current = capacities(admitting, service);
    if (current.length === 0) {
        const all = [...state.partners.values()].flatMap(use => use.queue);
        all.forEach(call => removeWaiting(state, call));
        return all.forEach(call => answer(admitting, call, Left(refusal(RefusalReason.NoBackendServer))));
    }
    for (let next = admitNext(state, current); next !== undefined; next = admitNext(state, current)) {
        answer(admitting, next.call, Right(next.server));
    }
}

function answer({ waiting }: Admitting, call: WaitingCall, outcome: Either<Refusal, BackendServer>): void {
    waiting.get(call)?.(outcome);
    waiting.delete(call);
}

function acquire(admitting: Admitting, service: Service, call: WaitingCall, control: Cancellation) {
    const state = stateOf(admitting, service.name);
    const decision = requestAdmission(state, call, capacities(admitting, service), admitting.now());
    const take = (server: BackendServer) => createSlot(admitting, service.name, call, server, control);
    return new Promise<Either<Refusal, Slot>>(resolve => {
        const handlers = {
            [AdmissionKind.Admitted]: ({ server }: { server: BackendServer }) => resolve(Right(take(server))),
            [AdmissionKind.Refused]: (refused: { refusal: Refusal }) => resolve(Left(refused.refusal)),
            [AdmissionKind.Queued]: ({ dropped }: { dropped?: WaitingCall }) => {
                admitting.waiting.set(call, outcome => resolve(outcome.map(take)));
                control.onCancel(() => leave(admitting, state, call));
                if (dropped !== undefined) {
                    answer(admitting, dropped, Left(refusal(RefusalReason.OverShare)));
                }
            },
        } satisfies Record<AdmissionKind, (decision: never) => void>;
        handlers[decision.kind](decision as never);
    });
}

function leave(admitting: Admitting, state: ServiceAdmission, call: WaitingCall): void {
    if (removeWaiting(state, call)) {
        answer(admitting, call, Left(refusal(RefusalReason.DeadlinePassed)));
    }
}

function expireWaiting(admitting: Admitting): void {
    for (const [service, state] of admitting.states) {
        const expired = removeExpired(state, admitting.now());
        expired.forEach(call => answer(admitting, call, Left(refusal(RefusalReason.WaitTooLong))));
        pump(admitting, service);
    }
}

/** Cancels the calls on backend servers that have drained for as long as they may. */
function applyDrainLimits({ board, now, held }: Admitting): void {
    for (const [slot, { control, service }] of held) {
        const server = board.read("backendServers").get(slot.server.id);
        const drainMs = serviceOf(board, service)?.drainMs ?? Infinity;
        if (
            server?.incarnation === slot.server.incarnation &&
            now() - (server.drainingSince ?? Infinity) > drainMs
        ) {
            control.cancel(drainLimitReached);
        }
    }
}

function followServers(admitting: Admitting): void {
    const { board, states, avoidedUntil } = admitting;
    const known = board.read("backendServers");
    [...avoidedUntil.keys()].filter(id => !known.has(id)).forEach(id => avoidedUntil.delete(id));
    const offered = new Set([...known.values()].map(server => server.service));
    for (const [service, state] of states) {
        pump(admitting, service);
        if (!offered.has(service) && state.partners.size === 0) {
            states.delete(service);
        }
    }
}
