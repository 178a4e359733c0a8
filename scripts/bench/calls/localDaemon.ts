import {
    AdmissionKind,
    admitNext,
    availableCapacities,
    loadOf,
    refusal,
    RefusalReason,
    releaseSlot,
    removeWaiting,
    requestAdmission,
    type BackendServer,
    type Refusal,
    type WaitingCall,
} from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import type { EventQueue } from "./eventQueue.js";
import { SimulatedEnd, type SimulatedHost, type SimulationBoard } from "./model.js";
import type { Selector } from "./selectors.js";
import type { User } from "./users.js";

/** Longest wait for a slot, as in the call adapter, in milliseconds. */
const maxQueueMs = 2_000;
const loadSampleMs = 250;
const loadSamples = 24;

export interface MeshOptions {
    readonly board: SimulationBoard;
    readonly queue: EventQueue;
    readonly random: () => number;
    readonly user: User;
    readonly serviceMs: number;
    /** @default Selector.Product */
    readonly selector?: Selector;
    /** Retries draw on the budget. @default true */
    readonly budget?: boolean;
    /** Partners queue apart. @default true */
    readonly fairQueue?: boolean;
    /** Service that a backend server of a service calls in turn. */
    readonly nextService?: (service: string) => string | undefined;
    /** Times that a backend server repeats its own failed call. @default 0 */
    readonly backendRetries?: number;
}

export interface CallRequest {
    readonly entry: SimulatedHost;
    readonly service: string;
    readonly partner: string;
    readonly deadline: number;
}

export type Done = (end: SimulatedEnd) => void;

export interface ArrivingAttempt {
    readonly request: CallRequest;
    readonly host: SimulatedHost;
    /** Called at the entry daemon. */
    readonly answer: (outcome: Either<Refusal, SimulatedEnd>) => void;
}

/** The daemons beside the backend servers: admission, queue, service and load reports. */
export interface LocalDaemons {
    arrive(attempt: ArrivingAttempt): void;
    /** Load that a response carries, as old as the host's reports are. */
    reportedLoad(host: SimulatedHost): number;
}

/** `begin` makes the call of a backend server to the next service. */
export function createLocalDaemons(
    options: MeshOptions,
    begin: (request: CallRequest, done: Done) => void,
): LocalDaemons {
    const { board, queue, random, serviceMs } = options;
    const traffic = board.read("traffic");
    const fair = options.fairQueue ?? true;
    let callNumber = 0;
    const capacities = (host: SimulatedHost) => availableCapacities(host.service, [host.server], queue.now());

    function arrive(attempt: ArrivingAttempt): void {
        const { request, host, answer } = attempt;
        const { service } = request;
        traffic.attempts.set(service, (traffic.attempts.get(service) ?? 0) + 1);
        if (!host.up) {
            return answer(Left(refusal(RefusalReason.Unreachable)));
        }
        const call: WaitingCall = {
            callId: String(callNumber++),
            partner: fair ? request.partner : "all",
            share: 1,
            deadline: Math.min(request.deadline, queue.now() + maxQueueMs),
        };
        const decision = requestAdmission(host.admission, call, capacities(host), queue.now());
        const handlers = {
            [AdmissionKind.Admitted]: ({ server }: { server: BackendServer }) => work(attempt, call, server),
            [AdmissionKind.Refused]: (refused: { refusal: Refusal }) => answer(Left(refused.refusal)),
            [AdmissionKind.Queued]: ({ dropped }: { dropped?: WaitingCall }) => {
                host.waiting.set(call, outcome =>
                    outcome.caseOf({
                        Left: refused => answer(Left(refused)),
                        Right: server => work(attempt, call, server),
                    }),
                );
                queue.schedule(call.deadline - queue.now(), () => {
                    if (removeWaiting(host.admission, call)) {
                        settle(host, call, Left(refusal(RefusalReason.WaitTooLong)));
                    }
                });
                if (dropped !== undefined) {
                    settle(host, dropped, Left(refusal(RefusalReason.OverShare)));
                }
            },
        } satisfies Record<AdmissionKind, (decision: never) => void>;
        handlers[decision.kind](decision as never);
    }

    function settle(host: SimulatedHost, call: WaitingCall, outcome: Either<Refusal, BackendServer>): void {
        host.waiting.get(call)?.(outcome);
        host.waiting.delete(call);
    }

    /** The backend server works on the call, or on its own call of the next service. */
    function work(
        { request, host, answer }: ArrivingAttempt,
        call: WaitingCall,
        server: BackendServer,
    ): void {
        const takenAt = queue.now();
        // Exponential service times.
        const ownMs = -Math.log(1 - random()) * serviceMs * host.slowness(takenAt);
        const release: Done = end => {
            releaseSlot(host.admission, call, server.id, queue.now() - takenAt);
            pump(host);
            answer(Right(host.up ? end : SimulatedEnd.Lost));
        };
        const leftMs = request.deadline - takenAt;
        queue.schedule(Math.min(ownMs, leftMs), () =>
            ownMs > leftMs ? release(SimulatedEnd.Lost) : callNext(host, request, release),
        );
    }

    function callNext(host: SimulatedHost, request: CallRequest, release: Done): void {
        const service = options.nextService?.(request.service);
        if (service === undefined) {
            return release(SimulatedEnd.Completed);
        }
        const tryOnce = (left: number): void =>
            begin({ ...request, entry: host, service }, end => {
                if (end !== SimulatedEnd.Completed && left > 0 && queue.now() < request.deadline) {
                    return tryOnce(left - 1);
                }
                release(end === SimulatedEnd.Completed ? end : SimulatedEnd.FailedBelow);
            });
        tryOnce(options.backendRetries ?? 0);
    }

    function pump(host: SimulatedHost): void {
        const current = capacities(host);
        for (
            let next = admitNext(host.admission, current);
            next !== undefined;
            next = admitNext(host.admission, current)
        ) {
            settle(host, next.call, Right(next.server));
        }
    }

    function reportedLoad(host: SimulatedHost): number {
        const index = host.loads.length - 1 - Math.floor(host.reportAgeMs / loadSampleMs);
        const aged = host.reportAgeMs === 0 ? loadOf(host.admission, capacities(host)) : host.loads[index];
        return host.reportsZero ? 0 : (aged ?? 0);
    }

    function sampleLoads(): void {
        for (const host of board.read("hosts")) {
            host.loads.push(loadOf(host.admission, capacities(host)));
            host.loads.splice(0, host.loads.length - loadSamples);
        }
        queue.schedule(loadSampleMs, sampleLoads);
    }
    sampleLoads();

    return { arrive, reportedLoad };
}
