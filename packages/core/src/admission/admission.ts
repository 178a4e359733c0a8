import { Left, Right, type Either } from "purify-ts/Either";
import { refusal, RefusalReason, type Refusal } from "../calls/refusal.js";
import type { Service } from "../configuration/resource.js";
import { hasLease } from "./announcement.js";
import type { CapacityReport } from "../routing/observation.js";
import { BackendServerState, type BackendServer } from "./backendServer.js";

/** Calls of one service that may wait on a host. */
export const maxQueuedCalls = 256;
/** Service time that is assumed before the first call has ended, in milliseconds. */
const firstServiceMs = 10;
const serviceTimeWeight = 0.2;
/** Calls of one service differ by a factor of ten; 20 calls tell a fast backend server from a slow one. */
const typicalTimeWeight = 0.05;
/**
 * Share of the time that a call has left until its objective, or until its deadline without one, which it may spend
 * waiting for a slot. Beyond the objective a queue only makes every call behind it late: with a queue up to the
 * deadline, 73% of the reads of an overloaded service were late, and the backend servers did no more work for it. When it may wait for
 * all of it, a queue of calls that run into their deadline stands in front of 12 slots, and 1% of the
 * calls are started in vain.
 */
const maxWaitShare = 0.5;
/**
 * Share of that time which a call may always wait, so that slots do not stand empty between two calls where the run
 * alone takes up to the objective.
 */
const minWaitShare = 0.1;
/**
 * Share of the usual run of an operation below which a call that still waits has no time left to be served. The runs of
 * one operation differ by a factor of two and more.
 */
const leastRunShare = 0.5;
/** Operations of one service whose run times are known apart; further ones count as taking no time. */
const maxTimedOperations = 256;

export interface WaitingCall {
    readonly callId: string;
    readonly partner: string;
    readonly share: number;
    /** Milliseconds since the epoch. */
    readonly deadline: number;
    /**
     * Instant until which an answer has its full worth, in milliseconds since the epoch.
     * @default deadline
     */
    readonly objective?: number;
    /**
     * Rank of the call; 0 is the most urgent.
     * @default 0
     */
    readonly priority?: number;
    /**
     * Calls of one operation take about the same time at a backend server.
     * @default ""
     */
    readonly operation?: string;
}

export interface PartnerUse {
    inUse: number;
    readonly queue: WaitingCall[];
}

/** Slots in use and waiting calls of one service on this host. Its owner alone changes it. */
export interface ServiceAdmission {
    readonly inUse: Map<string, number>;
    readonly partners: Map<string, PartnerUse>;
    queued: number;
    /** Moving average of the time that a call holds its slot, in milliseconds. */
    serviceMs: number;
    /** The same over more calls, by which hosts compare their backend servers; `undefined` before the first. */
    typicalMs: number | undefined;
    /** The same for the calls of each operation. */
    readonly runMs: Map<string, number>;
}

/** A backend server with the number of calls that it may work on. */
export interface Capacity {
    readonly server: BackendServer;
    readonly slots: number;
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
        serviceMs: firstServiceMs,
        typicalMs: undefined,
        runMs: new Map(),
    };
}

/** Backend servers of a service that take work; the lower of the announced and configured figures holds. */
export function capacitiesOf(
    service: Service,
    servers: Iterable<BackendServer>,
    now: number,
): readonly Capacity[] {
    return [...servers]
        .filter(
            server =>
                server.service === service.name &&
                server.state === BackendServerState.Serving &&
                hasLease(server, now),
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

/** Admits a call to a free slot, queues it, or refuses it. A queued call may push another one out. */
export function requestAdmission(
    state: ServiceAdmission,
    call: WaitingCall,
    capacities: readonly Capacity[],
    now: number,
): AdmissionDecision {
    return expectSlot(state, call, capacities, { now, bodyMs: 0 }).caseOf<AdmissionDecision>({
        Left: refused => ({ kind: AdmissionKind.Refused, refusal: refused }),
        Right({ server, waitMs }) {
            if (server === undefined) {
                return enqueue(state, call, waitMs);
            }
            takeSlot(state, call.partner, server);
            return { kind: AdmissionKind.Admitted, server };
        },
    });
}

/**
 * Why a call would be refused, asked before its body is received.
 *
 * @param bodyMs - time for which the body waits for the link, in milliseconds; the call waits for a slot meanwhile
 */
export function refusalBeforeBody(
    state: ServiceAdmission,
    call: WaitingCall,
    capacities: readonly Capacity[],
    times: { readonly now: number; readonly bodyMs: number },
): Refusal | undefined {
    return expectSlot(state, call, capacities, times).swap().toMaybe().extract();
}

interface ExpectedSlot {
    /** The backend server with a free slot, if there is one. */
    readonly server: BackendServer | undefined;
    /** Time until the call gets a slot and its body the link, in milliseconds. */
    readonly waitMs: number;
}

function expectSlot(
    state: ServiceAdmission,
    call: WaitingCall,
    capacities: readonly Capacity[],
    { now, bodyMs }: { readonly now: number; readonly bodyMs: number },
): Either<Refusal, ExpectedSlot> {
    if (capacities.length === 0) {
        return Left(refusal(RefusalReason.NoBackendServer));
    }
    if (call.deadline <= now) {
        return Left(refusal(RefusalReason.DeadlinePassed));
    }
    const server = state.queued === 0 ? freeServer(state, capacities) : undefined;
    const waitMs = Math.max(bodyMs, server === undefined ? expectedWaitMs(state, call, capacities) : 0);
    return waitMs > 0 && waitMs > longestWaitMs(state, call, now)
        ? Left(refusal(RefusalReason.WaitTooLong, waitMs))
        : Right({ server, waitMs });
}

/** Time for which a call may wait and still be answered in time, as far as its operation is known. */
function longestWaitMs({ runMs }: ServiceAdmission, call: WaitingCall, now: number): number {
    const leftMs = Math.min(call.objective ?? call.deadline, call.deadline) - now;
    const afterRunMs = leftMs - (runMs.get(operationOf(call)) ?? 0);
    return Math.max(minWaitShare * leftMs, Math.min(maxWaitShare * leftMs, afterRunMs));
}

function operationOf({ operation = "" }: Pick<WaitingCall, "operation">): string {
    return operation;
}

function enqueue(state: ServiceAdmission, call: WaitingCall, waitMs: number): AdmissionDecision {
    const use = useOf(state, call.partner);
    if (state.queued < maxQueuedCalls) {
        insertByUrgency(use.queue, call);
        state.queued += 1;
        return { kind: AdmissionKind.Queued };
    }
    const largest = [...state.partners.values()].reduce((a, b) => (heldBy(b) > heldBy(a) ? b : a));
    if (heldBy(use) + 1 / call.share >= heldBy(largest)) {
        return refuse(RefusalReason.OverShare, waitMs);
    }
    const dropped = largest.queue.pop();
    insertByUrgency(use.queue, call);
    return { kind: AdmissionKind.Queued, ...(dropped === undefined ? {} : { dropped }) };
}

function insertByUrgency(queue: WaitingCall[], call: WaitingCall): void {
    const behind = queue.findIndex(other => !precedes(other, call));
    queue.splice(behind < 0 ? queue.length : behind, 0, call);
}

/**
 * Whether a call that waits stays in front of one that comes later. Within one rank the earliest objective comes first. In
 * the order of arrival, a queue of calls with a long objective got nearly all calls with a short one refused, mostly calls
 * of other backend servers, whose own runs were then in vain.
 */
function precedes(waiting: WaitingCall, call: WaitingCall): boolean {
    const { priority: waitingRank = 0, objective: waitingObjective = waiting.deadline } = waiting;
    const { priority = 0, objective = call.deadline } = call;
    return waitingRank < priority || (waitingRank === priority && waitingObjective <= objective);
}

/** Waiting calls of a partner, relative to its share. */
function heldBy(use: PartnerUse): number {
    return use.queue.length / (use.queue[0]?.share ?? 1);
}

/** Admits the next waiting call: that of the partner with the least slots in use for its share. */
export function admitNext(
    state: ServiceAdmission,
    capacities: readonly Capacity[],
): { readonly call: WaitingCall; readonly server: BackendServer } | undefined {
    const server = state.queued === 0 ? undefined : freeServer(state, capacities);
    const next = [...state.partners.values()]
        .filter(use => use.queue.length > 0)
        .reduce<PartnerUse | undefined>(
            (best, use) => (best === undefined || usedShare(use) < usedShare(best) ? use : best),
            undefined,
        );
    if (server === undefined || next === undefined) {
        return undefined;
    }
    const call = next.queue.shift() as WaitingCall;
    state.queued -= 1;
    takeSlot(state, call.partner, server);
    return { call, server };
}

function usedShare(use: PartnerUse): number {
    return use.inUse / (use.queue[0]?.share ?? 1);
}

/** Takes a call out of the queue, such as when its caller left. */
export function removeWaiting(state: ServiceAdmission, call: WaitingCall): boolean {
    const use = state.partners.get(call.partner);
    const index = use?.queue.indexOf(call) ?? -1;
    if (use === undefined || index < 0) {
        return false;
    }
    use.queue.splice(index, 1);
    state.queued -= 1;
    forgetIdle(state, call.partner);
    return true;
}

/** Removes and returns the waiting calls that could not be served any more before their deadline. */
export function removeExpired(state: ServiceAdmission, now: number): readonly WaitingCall[] {
    const neededMs = (call: WaitingCall) => leastRunShare * (state.runMs.get(operationOf(call)) ?? 0);
    const expired = [...state.partners.values()].flatMap(use =>
        use.queue.filter(call => call.deadline - neededMs(call) <= now),
    );
    expired.forEach(call => removeWaiting(state, call));
    return expired;
}

export function releaseSlot(
    state: ServiceAdmission,
    call: Pick<WaitingCall, "partner" | "operation">,
    serverId: string,
    heldMs: number,
): void {
    const left = (state.inUse.get(serverId) ?? 1) - 1;
    if (left > 0) {
        state.inUse.set(serverId, left);
    } else {
        state.inUse.delete(serverId);
    }
    useOf(state, call.partner).inUse -= 1;
    forgetIdle(state, call.partner);
    state.serviceMs += serviceTimeWeight * (heldMs - state.serviceMs);
    state.typicalMs = averageWith(state.typicalMs, heldMs);
    const operation = operationOf(call);
    if (state.runMs.has(operation) || state.runMs.size < maxTimedOperations) {
        state.runMs.set(operation, averageWith(state.runMs.get(operation), heldMs));
    }
}

function averageWith(average: number | undefined, heldMs: number): number {
    return average === undefined ? heldMs : average + typicalTimeWeight * (heldMs - average);
}

/**
 * What this host says of its backend servers of a service; `undefined` before their first call has ended.
 *
 * @param arriving - calls whose bodies are still on their way
 */
export function reportCapacity(
    state: ServiceAdmission | undefined,
    capacities: readonly Capacity[],
    arriving = 0,
): CapacityReport | undefined {
    if (state?.typicalMs === undefined) {
        return undefined;
    }
    const inUse = [...state.inUse.values()].reduce((sum, calls) => sum + calls, 0);
    const slots = capacities.reduce((sum, capacity) => sum + capacity.slots, 0);
    return { calls: inUse + state.queued + arriving, slots, serviceMs: state.typicalMs };
}

/** Share of the service's slots on this host that are in use, from 0 to 1. */
export function loadOf(state: ServiceAdmission | undefined, capacities: readonly Capacity[]): number {
    const slots = capacities.reduce((sum, capacity) => sum + capacity.slots, 0);
    const used = capacities.reduce((sum, { server }) => sum + (state?.inUse.get(server.id) ?? 0), 0);
    return slots === 0 ? 1 : Math.min(1, (used + (state?.queued ?? 0)) / slots);
}

/**
 * Time until a call gets a slot. Only the calls that the fair queue takes before it count: of each
 * partner as many, for its share, as the call's own partner has waiting. With all waiting calls, one
 * flooding partner got the calls of the others refused.
 */
function expectedWaitMs(state: ServiceAdmission, call: WaitingCall, capacities: readonly Capacity[]): number {
    const slots = capacities.reduce((sum, capacity) => sum + capacity.slots, 0);
    const own = state.partners.get(call.partner)?.queue ?? [];
    const before = own.filter(other => precedes(other, call));
    const turns = (before.length + 1) / call.share;
    let aheadMs = runTimeOf(state, before);
    for (const [partner, { queue }] of state.partners) {
        if (partner !== call.partner) {
            aheadMs += runTimeOf(state, queue.slice(0, turns * (queue[0]?.share ?? 1)));
        }
    }
    return (aheadMs + state.serviceMs) / slots;
}

/** Time for which the calls will hold slots; the operations of one service may differ by a factor of five. */
function runTimeOf({ runMs, serviceMs, typicalMs }: ServiceAdmission, calls: readonly WaitingCall[]): number {
    const sizeOf = (call: WaitingCall) => (runMs.get(operationOf(call)) ?? typicalMs ?? 1) / (typicalMs ?? 1);
    return serviceMs * calls.reduce((sum, call) => sum + sizeOf(call), 0);
}

function freeServer(state: ServiceAdmission, capacities: readonly Capacity[]): BackendServer | undefined {
    const use = ({ server, slots }: Capacity) => (state.inUse.get(server.id) ?? 0) / slots;
    const free = capacities.filter(capacity => use(capacity) < 1).sort((a, b) => use(a) - use(b));
    return free[0]?.server;
}

function takeSlot(state: ServiceAdmission, partner: string, server: BackendServer): void {
    state.inUse.set(server.id, (state.inUse.get(server.id) ?? 0) + 1);
    useOf(state, partner).inUse += 1;
}

function useOf(state: ServiceAdmission, partner: string): PartnerUse {
    const use = state.partners.get(partner) ?? { inUse: 0, queue: [] };
    state.partners.set(partner, use);
    return use;
}

function forgetIdle(state: ServiceAdmission, partner: string): void {
    const use = state.partners.get(partner);
    if (use !== undefined && use.inUse === 0 && use.queue.length === 0) {
        state.partners.delete(partner);
    }
}

function refuse(reason: RefusalReason, retryAfterMs?: number): AdmissionDecision {
    return { kind: AdmissionKind.Refused, refusal: refusal(reason, retryAfterMs) };
}
