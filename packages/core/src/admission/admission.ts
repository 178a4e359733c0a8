import { Left, Right, type Either } from "purify-ts/Either";
import { refusal, RefusalReason, type Refusal } from "../calls/refusal.js";
import type { CapacityReport } from "../routing/observation.js";
import type { BackendServer } from "./backendServer.js";
import { leastUsedServer, type Capacity } from "./capacity.js";
import type { ConcurrencyLimit } from "./concurrencyLimit.js";
import { isCallerConfirmed, type CallerContact, type EntryContact } from "./entryContact.js";
import type { ServiceTimes } from "./serviceTimes.js";

/** Maximum number of calls of one service that may wait on a host. */
export const maxQueuedCalls = 256;
/** Assumed service time until the first call has ended, in milliseconds. */
const initialServiceMs = 10;
const serviceTimeWeight = 0.2;
/**
 * Averages over about 20 calls: the service times of one service differ by a factor of ten, and 20 calls suffice to
 * distinguish a fast backend server from a slow one.
 */
const longTermServiceTimeWeight = 0.05;
/**
 * Share of a call's remaining time that it may spend waiting for a slot. The remaining time ends at the objective, or at
 * the deadline if there is no objective. A queue that reaches past the objective makes every call in it late: with a
 * queue up to the deadline, 73% of the reads of an overloaded service were late, without any gain in throughput. With
 * a share of 1, the queue in front of 12 slots consisted of calls close to their deadline, and 1% of the calls were
 * started but not answered in time.
 */
const maxWaitShare = 0.5;
/**
 * Share of the remaining time that a call may wait in any case. Without it, slots would be idle between calls when the
 * service time alone takes up the time until the objective.
 */
const minWaitShare = 0.1;
/**
 * A waiting call expires when its remaining time falls below this share of the average service time of its operation.
 * The share is below 1 because the service times of one operation differ by a factor of two and more.
 */
const minServiceTimeShare = 0.5;
/** Maximum number of operations of one service whose service times are tracked; others count as taking no time. */
export const maxTimedOperations = 256;

export interface WaitingCall {
    readonly callId: string;
    readonly partner: string;
    readonly share: number;
    /** Milliseconds since the epoch. */
    readonly deadline: number;
    /**
     * Time by which the call should be answered, in milliseconds since the epoch.
     * @default deadline
     */
    readonly objective?: number;
    /**
     * Lower values are admitted first; 0 is the highest priority.
     * @default 0
     */
    readonly priority?: number;
    /**
     * Groups calls whose service times at a backend server are similar.
     * @default ""
     */
    readonly operation?: string;
    /**
     * What is known of the caller. A call whose caller is not confirmed waits, although a slot is free.
     * @default the caller is known to be connected
     */
    readonly caller?: CallerContact | undefined;
}

export interface PartnerUsage {
    inUse: number;
    readonly queue: WaitingCall[];
}

/** Slots in use and waiting calls of one service on this host. Only its owner modifies it. */
export interface ServiceAdmission {
    readonly inUse: Map<string, number>;
    readonly partners: Map<string, PartnerUsage>;
    queued: number;
    /** Moving average of the time that a call occupies its slot, in milliseconds. */
    serviceMs: number;
    /** The same average over more calls, reported to other hosts; `undefined` until the first call has ended. */
    longTermServiceMs: number | undefined;
    /** The long-term average for each operation. */
    readonly serviceMsByOperation: Map<string, number>;
    /** Times until the response head, by operation. */
    readonly responseTimes: Map<string, ServiceTimes>;
    /** Limits of backend servers that left calls unanswered, by id. */
    readonly concurrencyLimits: Map<string, ConcurrencyLimit>;
}

export const AdmissionKind = { Admitted: "admitted", Queued: "queued", Refused: "refused" } as const;
export type AdmissionKind = (typeof AdmissionKind)[keyof typeof AdmissionKind];

export type AdmissionDecision =
    | { readonly kind: typeof AdmissionKind.Admitted; readonly server: BackendServer }
    | { readonly kind: typeof AdmissionKind.Queued; readonly dropped?: WaitingCall }
    | { readonly kind: typeof AdmissionKind.Refused; readonly refusal: Refusal };

export function createServiceAdmission(): ServiceAdmission {
    return {
        inUse: new Map(),
        partners: new Map(),
        queued: 0,
        serviceMs: initialServiceMs,
        longTermServiceMs: undefined,
        serviceMsByOperation: new Map(),
        responseTimes: new Map(),
        concurrencyLimits: new Map(),
    };
}

/** Admits a call to a free slot, queues it, or refuses it. When the queue is full, another call may be dropped instead. */
export function requestAdmission(
    state: ServiceAdmission,
    call: WaitingCall,
    capacities: readonly Capacity[],
    now: number,
): AdmissionDecision {
    return estimateSlot(state, call, capacities, { now, bodyMs: 0 }).caseOf<AdmissionDecision>({
        Left: refused => ({ kind: AdmissionKind.Refused, refusal: refused }),
        Right({ server, waitMs }) {
            if (server === undefined || !isConfirmed(call, now)) {
                return enqueue(state, call, waitMs);
            }
            occupySlot(state, call.partner, server);
            return { kind: AdmissionKind.Admitted, server };
        },
    });
}

/**
 * Checks before the body is received whether the call would be refused.
 *
 * @param bodyMs - time that the body waits for the link, in milliseconds, concurrently with the wait for a slot
 */
export function refusalBeforeBody(
    state: ServiceAdmission,
    call: WaitingCall,
    capacities: readonly Capacity[],
    times: { readonly now: number; readonly bodyMs: number },
): Refusal | undefined {
    return estimateSlot(state, call, capacities, times).swap().toMaybe().extract();
}

function isConfirmed({ caller }: WaitingCall, now: number): boolean {
    return caller === undefined || isCallerConfirmed(caller, now);
}

/** Whether a call waits that takes the next free slot. Others do not stand in the way of a new call. */
function hasConfirmedCall({ queued, partners }: ServiceAdmission, now: number): boolean {
    return (
        queued > 0 && [...partners.values()].some(({ queue }) => queue.some(call => isConfirmed(call, now)))
    );
}

interface SlotEstimate {
    /** Backend server with a free slot, if any. */
    readonly server: BackendServer | undefined;
    /** Expected time until a slot is free and the body can be received, in milliseconds. */
    readonly waitMs: number;
}

function estimateSlot(
    state: ServiceAdmission,
    call: WaitingCall,
    capacities: readonly Capacity[],
    { now, bodyMs }: { readonly now: number; readonly bodyMs: number },
): Either<Refusal, SlotEstimate> {
    if (capacities.length === 0) {
        return Left(refusal(RefusalReason.NoBackendServer));
    }
    if (call.deadline <= now) {
        return Left(refusal(RefusalReason.DeadlinePassed));
    }
    const freeServer = leastUsedServer(state, capacities);
    const server = freeServer !== undefined && !hasConfirmedCall(state, now) ? freeServer : undefined;
    const waitMs = Math.max(bodyMs, server === undefined ? expectedWaitMs(state, call, capacities) : 0);
    return waitMs > 0 && waitMs > maxWaitMs(state, call, now)
        ? Left(refusal(RefusalReason.WaitTooLong, waitMs))
        : Right({ server, waitMs });
}

/** Returns how long a call may wait and still be answered in time, given the average service time of its operation. */
function maxWaitMs({ serviceMsByOperation }: ServiceAdmission, call: WaitingCall, now: number): number {
    const remainingMs = Math.min(call.objective ?? call.deadline, call.deadline) - now;
    const slackMs = remainingMs - (serviceMsByOperation.get(operationOf(call)) ?? 0);
    return Math.max(minWaitShare * remainingMs, Math.min(maxWaitShare * remainingMs, slackMs));
}

function operationOf({ operation = "" }: Pick<WaitingCall, "operation">): string {
    return operation;
}

function enqueue(state: ServiceAdmission, call: WaitingCall, waitMs: number): AdmissionDecision {
    const usage = usageOf(state, call.partner);
    if (state.queued < maxQueuedCalls) {
        insertByPriority(usage.queue, call);
        state.queued += 1;
        return { kind: AdmissionKind.Queued };
    }
    const largest = [...state.partners.values()].reduce((a, b) => (queueRatio(b) > queueRatio(a) ? b : a));
    if (queueRatio(usage) + 1 / call.share >= queueRatio(largest)) {
        return refuse(RefusalReason.OverShare, waitMs);
    }
    const dropped = largest.queue.pop();
    insertByPriority(usage.queue, call);
    return { kind: AdmissionKind.Queued, ...(dropped === undefined ? {} : { dropped }) };
}

function insertByPriority(queue: WaitingCall[], call: WaitingCall): void {
    const position = queue.findIndex(other => !precedes(other, call));
    queue.splice(position < 0 ? queue.length : position, 0, call);
}

/**
 * Whether a waiting call stays ahead of a later one. Within one priority the earliest objective goes first. In order of
 * arrival, a queue of calls with a long objective caused nearly all calls with a short one to be refused. Most of these
 * were made by other backend servers, which had then done their own work for nothing.
 */
function precedes(waiting: WaitingCall, call: WaitingCall): boolean {
    const { priority: waitingPriority = 0, objective: waitingObjective = waiting.deadline } = waiting;
    const { priority = 0, objective = call.deadline } = call;
    return waitingPriority < priority || (waitingPriority === priority && waitingObjective <= objective);
}

/** Number of waiting calls of a partner, divided by its share. */
function queueRatio(usage: PartnerUsage): number {
    return usage.queue.length / (usage.queue[0]?.share ?? 1);
}

export interface AdmitNextOptions {
    /**
     * Whether a waiting call may start now. Other calls keep their places in the queue.
     * @default () => true
     */
    readonly mayStart?: (call: WaitingCall) => boolean;
}

/** Admits the next waiting call, taken from the partner with the fewest slots in use relative to its share. */
export function admitNext(
    state: ServiceAdmission,
    capacities: readonly Capacity[],
    { mayStart = () => true }: AdmitNextOptions = {},
): { readonly call: WaitingCall; readonly server: BackendServer } | undefined {
    const server = state.queued === 0 ? undefined : leastUsedServer(state, capacities);
    if (server === undefined) {
        return undefined;
    }
    let next: { readonly usage: PartnerUsage; readonly call: WaitingCall } | undefined;
    for (const usage of state.partners.values()) {
        const call = usage.queue.find(mayStart);
        if (call !== undefined && (next === undefined || slotRatio(usage) < slotRatio(next.usage))) {
            next = { usage, call };
        }
    }
    if (next === undefined) {
        return undefined;
    }
    const { usage, call } = next;
    usage.queue.splice(usage.queue.indexOf(call), 1);
    state.queued -= 1;
    occupySlot(state, call.partner, server);
    return { call, server };
}

/** Number of slots in use by a partner, divided by its share. */
function slotRatio(usage: PartnerUsage): number {
    return usage.inUse / (usage.queue[0]?.share ?? 1);
}

/** Removes a call from the queue, for example because its caller disconnected. */
export function removeWaiting(state: ServiceAdmission, call: WaitingCall): boolean {
    const usage = state.partners.get(call.partner);
    const index = usage?.queue.indexOf(call) ?? -1;
    if (usage === undefined || index < 0) {
        return false;
    }
    usage.queue.splice(index, 1);
    state.queued -= 1;
    deleteIfIdle(state, call.partner);
    return true;
}

/**
 * Removes and returns the calls of an entry daemon whose callers it has not confirmed although it was asked. They keep no
 * slot free, and other hosts may take them.
 */
export function removeUnconfirmed(
    state: ServiceAdmission,
    capacities: readonly Capacity[],
    { entry, now }: { readonly entry: EntryContact; readonly now: number },
): readonly WaitingCall[] {
    if (leastUsedServer(state, capacities) === undefined) {
        return [];
    }
    const unconfirmed = [...state.partners.values()].flatMap(({ queue }) =>
        queue.filter(call => call.caller?.entry === entry && !isConfirmed(call, now)),
    );
    unconfirmed.forEach(call => removeWaiting(state, call));
    return unconfirmed;
}

/** Removes and returns the waiting calls that can no longer be served before their deadline. */
export function removeExpired(state: ServiceAdmission, now: number): readonly WaitingCall[] {
    const minServiceMs = (call: WaitingCall) =>
        minServiceTimeShare * (state.serviceMsByOperation.get(operationOf(call)) ?? 0);
    const expired = [...state.partners.values()].flatMap(usage =>
        usage.queue.filter(call => call.deadline - minServiceMs(call) <= now),
    );
    expired.forEach(call => removeWaiting(state, call));
    return expired;
}

/** Frees a slot that the call has not used. */
export function returnSlot(
    state: ServiceAdmission,
    call: Pick<WaitingCall, "partner">,
    serverId: string,
): void {
    const remaining = (state.inUse.get(serverId) ?? 1) - 1;
    if (remaining > 0) {
        state.inUse.set(serverId, remaining);
    } else {
        state.inUse.delete(serverId);
    }
    usageOf(state, call.partner).inUse -= 1;
    deleteIfIdle(state, call.partner);
}

/** Frees the slot of a call that has ended, and records how long the call took. */
export function releaseSlot(
    state: ServiceAdmission,
    call: Pick<WaitingCall, "partner" | "operation">,
    serverId: string,
    elapsedMs: number,
): void {
    returnSlot(state, call, serverId);
    state.serviceMs += serviceTimeWeight * (elapsedMs - state.serviceMs);
    state.longTermServiceMs = movingAverage(state.longTermServiceMs, elapsedMs);
    const operation = operationOf(call);
    if (state.serviceMsByOperation.has(operation) || state.serviceMsByOperation.size < maxTimedOperations) {
        state.serviceMsByOperation.set(
            operation,
            movingAverage(state.serviceMsByOperation.get(operation), elapsedMs),
        );
    }
}

function movingAverage(average: number | undefined, elapsedMs: number): number {
    return average === undefined ? elapsedMs : average + longTermServiceTimeWeight * (elapsedMs - average);
}

/**
 * Builds the capacity report of this host for a service; `undefined` until the first call has ended.
 *
 * @param receivingBodies - number of calls whose bodies have not been received yet
 */
export function reportCapacity(
    state: ServiceAdmission | undefined,
    capacities: readonly Capacity[],
    receivingBodies = 0,
): CapacityReport | undefined {
    if (state?.longTermServiceMs === undefined) {
        return undefined;
    }
    const inUse = [...state.inUse.values()].reduce((sum, calls) => sum + calls, 0);
    const slots = capacities.reduce((sum, capacity) => sum + capacity.slots, 0);
    return { calls: inUse + state.queued + receivingBodies, slots, serviceMs: state.longTermServiceMs };
}

/**
 * Estimates the time until a call gets a slot. Only the calls that the fair queue admits before it count: from every
 * other partner, as many in proportion to its share as the call's own partner has ahead of the call. When all waiting
 * calls counted, one partner that flooded the queue caused the calls of the others to be refused.
 */
function expectedWaitMs(state: ServiceAdmission, call: WaitingCall, capacities: readonly Capacity[]): number {
    const slots = capacities.reduce((sum, capacity) => sum + capacity.slots, 0);
    const own = state.partners.get(call.partner)?.queue ?? [];
    const ahead = own.filter(other => precedes(other, call));
    const turns = (ahead.length + 1) / call.share;
    let aheadMs = totalServiceMs(state, ahead);
    for (const [partner, { queue }] of state.partners) {
        if (partner !== call.partner) {
            aheadMs += totalServiceMs(state, queue.slice(0, turns * (queue[0]?.share ?? 1)));
        }
    }
    return (aheadMs + state.serviceMs) / slots;
}

/** Expected total service time of the calls. The operations of one service may differ by a factor of five. */
function totalServiceMs(
    { serviceMsByOperation, serviceMs, longTermServiceMs }: ServiceAdmission,
    calls: readonly WaitingCall[],
): number {
    const relativeServiceTime = (call: WaitingCall) =>
        (serviceMsByOperation.get(operationOf(call)) ?? longTermServiceMs ?? 1) / (longTermServiceMs ?? 1);
    return serviceMs * calls.reduce((sum, call) => sum + relativeServiceTime(call), 0);
}

function occupySlot(state: ServiceAdmission, partner: string, server: BackendServer): void {
    state.inUse.set(server.id, (state.inUse.get(server.id) ?? 0) + 1);
    usageOf(state, partner).inUse += 1;
}

function usageOf(state: ServiceAdmission, partner: string): PartnerUsage {
    const usage = state.partners.get(partner) ?? { inUse: 0, queue: [] };
    state.partners.set(partner, usage);
    return usage;
}

function deleteIfIdle(state: ServiceAdmission, partner: string): void {
    const usage = state.partners.get(partner);
    if (usage !== undefined && usage.inUse === 0 && usage.queue.length === 0) {
        state.partners.delete(partner);
    }
}

function refuse(reason: RefusalReason, retryAfterMs?: number): AdmissionDecision {
    return { kind: AdmissionKind.Refused, refusal: refusal(reason, retryAfterMs) };
}
