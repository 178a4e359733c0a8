import {
    AdmissionKind,
    admitNext,
    availableCapacities,
    createServiceAdmission,
    isCallerConfirmed,
    limitCapacities,
    loadOf,
    recordResponseTime,
    recordSilence,
    refusal,
    refusalBeforeBody,
    RefusalReason,
    releaseSlot,
    removeExpired,
    removeUnconfirmed,
    removeWaiting,
    reportCapacity,
    requestAdmission,
    ResourceKind,
    returnSlot,
    resourceName,
    silenceLimitMs,
    type BackendServer,
    type Capacity,
    type CapacityReport,
    type ConcurrencyLimit,
    type EntryContact,
    type Refusal,
    type Service,
    type ServiceAdmission,
    type WaitingCall,
} from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import type { Board } from "../../board.js";
import type { Cancellation } from "./cancellation.js";
import type { EntryContacts } from "./entryContacts.js";

/** One of the concurrent calls that a backend server accepts. */
export interface Slot {
    readonly server: BackendServer;
    /** Releases the slot. A backend server that was not reachable is avoided for a short time. */
    release(options: { readonly reachable: boolean }): void;
    /** Returns the slot, which the call has not used. */
    putBack(): void;
}

export interface Admissions {
    /** Waits for a slot. Cancels the call when its backend server exceeds the drain limit. */
    acquire(service: Service, call: WaitingCall, cancellation: Cancellation): Promise<Either<Refusal, Slot>>;
    /** Checks a call before its body is received; `undefined` when it may still be admitted. */
    refusalBeforeBody(service: Service, call: WaitingCall, bodyMs: number): Refusal | undefined;
    /** Load of the service on this host, from 0 to 1. */
    load(service: Service): number;
    report(service: Service): CapacityReport | undefined;
    /** Time without a response head after which a call is better sent elsewhere; `undefined` if it should wait. */
    silenceLimitMs(service: Service, operation: string, remainingMs: number): number | undefined;
    recordResponse(
        service: Service,
        server: BackendServer,
        call: { readonly operation: string; readonly elapsedMs: number },
    ): void;
    recordSilence(service: Service, server: BackendServer): void;
    close(): void;
}

/** Time for which an unreachable backend server is avoided, in milliseconds. */
const unreachableServerAvoidMs = 500;
/** Probes of an entry daemon after which its unconfirmed callers are refused. One answer may be outdated by a long turn. */
const maxProbes = 2;
const noLimits: ReadonlyMap<string, ConcurrencyLimit> = new Map();
const drainLimitReached = new Error("the backend server's drain limit was reached");

/** State that the functions of this module share, one for each `createAdmissions`. */
interface AdmissionContext {
    readonly board: Board;
    readonly now: () => number;
    readonly states: Map<string, ServiceAdmission>;
    readonly waitingCalls: Map<WaitingCall, (outcome: Either<Refusal, BackendServer>) => void>;
    readonly occupiedSlots: Map<Slot, { readonly cancellation: Cancellation; readonly service: string }>;
    readonly avoidedUntil: Map<string, number>;
    readonly probe: EntryContacts["probe"];
}

export interface AdmissionsOptions {
    readonly now: () => number;
    /** Asks the entry daemon of an unconfirmed caller whose call is the next to start. */
    readonly probe: EntryContacts["probe"];
    /**
     * Number of calls whose bodies are still arriving or queued, which a capacity report includes.
     * @default () => 0
     */
    readonly arrivingBodies?: () => number;
}

/** Assigns the slots of the backend servers to calls and writes the `admissionState` section. */
export function createAdmissions(
    board: Board,
    { now, probe, arrivingBodies = () => 0 }: AdmissionsOptions,
): Admissions {
    const context: AdmissionContext = {
        board,
        now,
        states: new Map(),
        waitingCalls: new Map(),
        occupiedSlots: new Map(),
        avoidedUntil: new Map(),
        probe,
    };
    board.claimValue("admissionState").write(context.states);
    const subscriptions = [
        board.observe(["clock"], () => {
            expireWaiting(context);
            applyDrainLimits(context);
        }),
        board.observe(["backendServers", "configuration"], () => updateServers(context)),
    ];
    return {
        acquire: (service, call, cancellation) => acquire(context, service, call, cancellation),
        refusalBeforeBody: (service, call, bodyMs) =>
            refusalBeforeBody(stateOf(context, service.name), call, capacities(context, service), {
                now: now(),
                bodyMs,
            }),
        load: service => loadOf(context.states.get(service.name), capacities(context, service)),
        report: service =>
            reportCapacity(context.states.get(service.name), capacities(context, service), arrivingBodies()),
        silenceLimitMs: (service, operation, remainingMs) =>
            silenceLimitMs(stateOf(context, service.name).responseTimes.get(operation), remainingMs),
        recordResponse: (service, server, call) =>
            announcedCapacity(context, service, server).forEach(capacity =>
                recordResponseTime(stateOf(context, service.name), capacity, call),
            ),
        recordSilence: (service, server) =>
            announcedCapacity(context, service, server).forEach(capacity =>
                recordSilence(stateOf(context, service.name), capacity),
            ),
        close: () => subscriptions.forEach(subscription => subscription.close()),
    };
}

/** Capacity of a backend server without its concurrency limit; empty once the server is gone. */
function announcedCapacity(
    { board, now }: AdmissionContext,
    service: Service,
    { id }: BackendServer,
): readonly Capacity[] {
    const server = board.read("backendServers").get(id);
    return server === undefined ? [] : availableCapacities(service, [server], now());
}

function serviceOf(board: Board, name: string): Service | undefined {
    const resources = board.read("configuration").held?.resources;
    const resource = resources?.get(resourceName(ResourceKind.Service, name));
    return resource?.kind === ResourceKind.Service ? resource : undefined;
}

/** Capacities of the backend servers that are not avoided, or of all of them when every one is. */
function capacities(
    { board, now, avoidedUntil, states }: AdmissionContext,
    service: Service,
): readonly Capacity[] {
    const announced = availableCapacities(service, board.read("backendServers").values(), now());
    const all = limitCapacities(announced, states.get(service.name)?.concurrencyLimits ?? noLimits);
    const reachable = all.filter(({ server }) => (avoidedUntil.get(server.id) ?? 0) <= now());
    return reachable.length > 0 ? reachable : all;
}

function stateOf({ states }: AdmissionContext, service: string): ServiceAdmission {
    const state = states.get(service) ?? createServiceAdmission();
    states.set(service, state);
    return state;
}

function createSlot(
    context: AdmissionContext,
    service: string,
    call: WaitingCall,
    server: BackendServer,
    cancellation: Cancellation,
): Slot {
    const { now, occupiedSlots, avoidedUntil } = context;
    const takenAt = now();
    function free(update: (state: ServiceAdmission) => void): void {
        if (occupiedSlots.delete(slot)) {
            update(stateOf(context, service));
            assignFreeSlots(context, service);
        }
    }

    const slot: Slot = {
        server,
        release({ reachable }) {
            if (!reachable) {
                avoidedUntil.set(server.id, now() + unreachableServerAvoidMs);
            }
            free(state => releaseSlot(state, call, server.id, now() - takenAt));
        },
        putBack: () => free(state => returnSlot(state, call, server.id)),
    };
    occupiedSlots.set(slot, { cancellation, service });
    return slot;
}

interface EndedProbe {
    readonly entry: EntryContact;
    /** Probes of this entry daemon that may follow before its unconfirmed callers are refused. */
    readonly probesLeft: number;
}

/**
 * Assigns free slots to waiting calls, or refuses these when the service has no backend server. Asks the entry daemons of
 * callers that are not confirmed, and refuses the calls of those that do not confirm them.
 */
function assignFreeSlots(context: AdmissionContext, name: string, ended?: EndedProbe): void {
    const service = serviceOf(context.board, name);
    const state = context.states.get(name);
    if (service === undefined || state === undefined || state.queued === 0) {
        return;
    }
    const refuse = (call: WaitingCall, reason: RefusalReason) => settle(context, call, Left(refusal(reason)));
    const available = capacities(context, service);
    if (available.length === 0) {
        const queued = [...state.partners.values()].flatMap(use => use.queue);
        queued.forEach(call => removeWaiting(state, call));
        return queued.forEach(call => refuse(call, RefusalReason.NoBackendServer));
    }
    const unconfirmedEntries = new Set<EntryContact>();
    const mayStart = ({ caller }: WaitingCall) => {
        const isConfirmed = caller === undefined || isCallerConfirmed(caller, context.now());
        if (!isConfirmed) {
            unconfirmedEntries.add(caller.entry);
        }
        return isConfirmed;
    };
    const admit = () => admitNext(state, available, { mayStart });
    for (let next = admit(); next !== undefined; next = admit()) {
        settle(context, next.call, Right(next.server));
    }
    // Calls of other services that wait for the same probe are assigned at the next clock tick.
    for (const entry of unconfirmedEntries) {
        const probesLeft = entry === ended?.entry ? ended.probesLeft : maxProbes;
        if (probesLeft > 0) {
            const next = { entry, probesLeft: probesLeft - 1 };
            context.probe(entry, () => assignFreeSlots(context, name, next));
        } else {
            const unconfirmed = removeUnconfirmed(state, available, { entry, now: context.now() });
            unconfirmed.forEach(call => refuse(call, RefusalReason.CallerUnconfirmed));
        }
    }
}

function settle(
    { waitingCalls }: AdmissionContext,
    call: WaitingCall,
    outcome: Either<Refusal, BackendServer>,
): void {
    waitingCalls.get(call)?.(outcome);
    waitingCalls.delete(call);
}

function acquire(context: AdmissionContext, service: Service, call: WaitingCall, cancellation: Cancellation) {
    const state = stateOf(context, service.name);
    const decision = requestAdmission(state, call, capacities(context, service), context.now());
    const openSlot = (server: BackendServer) => createSlot(context, service.name, call, server, cancellation);
    return new Promise<Either<Refusal, Slot>>(resolve => {
        const handlers = {
            [AdmissionKind.Admitted]: ({ server }: { server: BackendServer }) =>
                resolve(Right(openSlot(server))),
            [AdmissionKind.Refused]: (refused: { refusal: Refusal }) => resolve(Left(refused.refusal)),
            [AdmissionKind.Queued]: ({ dropped }: { dropped?: WaitingCall }) => {
                context.waitingCalls.set(call, outcome => resolve(outcome.map(openSlot)));
                cancellation.onCancel(() => removeCancelled(context, state, call));
                if (dropped !== undefined) {
                    settle(context, dropped, Left(refusal(RefusalReason.OverShare)));
                }
                // Slots are free while no caller ahead is confirmed, or this one is not.
                assignFreeSlots(context, service.name);
            },
        } satisfies Record<AdmissionKind, (decision: never) => void>;
        handlers[decision.kind](decision as never);
    });
}

function removeCancelled(context: AdmissionContext, state: ServiceAdmission, call: WaitingCall): void {
    if (removeWaiting(state, call)) {
        settle(context, call, Left(refusal(RefusalReason.DeadlinePassed)));
    }
}

function expireWaiting(context: AdmissionContext): void {
    for (const [service, state] of context.states) {
        const expired = removeExpired(state, context.now());
        expired.forEach(call => settle(context, call, Left(refusal(RefusalReason.WaitTooLong))));
        assignFreeSlots(context, service);
    }
}

/** Cancels the calls on backend servers that exceed the drain limit of their service. */
function applyDrainLimits({ board, now, occupiedSlots }: AdmissionContext): void {
    for (const [slot, { cancellation, service }] of occupiedSlots) {
        const server = board.read("backendServers").get(slot.server.id);
        const drainMs = serviceOf(board, service)?.drainMs ?? Infinity;
        if (
            server?.incarnation === slot.server.incarnation &&
            now() - (server.drainingSince ?? Infinity) > drainMs
        ) {
            cancellation.cancel(drainLimitReached);
        }
    }
}

function updateServers(context: AdmissionContext): void {
    const { board, states, avoidedUntil } = context;
    const servers = board.read("backendServers");
    [...avoidedUntil.keys()].filter(id => !servers.has(id)).forEach(id => avoidedUntil.delete(id));
    const servicesWithServers = new Set([...servers.values()].map(server => server.service));
    for (const [service, state] of states) {
        assignFreeSlots(context, service);
        [...state.concurrencyLimits.keys()]
            .filter(id => !servers.has(id))
            .forEach(id => state.concurrencyLimits.delete(id));
        if (!servicesWithServers.has(service) && state.partners.size === 0) {
            states.delete(service);
        }
    }
}
