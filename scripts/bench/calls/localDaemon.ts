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
import { SimulatedOutcome, type SimulatedHost, type SimulationBoard } from "./model.js";
import type { Selector } from "./selectors.js";
import type { UserProfile } from "./users.js";

/** Maximum wait for a slot, in milliseconds; the same as in the call adapter. */
const maxQueueMs = 2_000;
const loadSampleMs = 250;
const loadSamples = 24;

export interface MeshOptions {
    readonly board: SimulationBoard;
    readonly queue: EventQueue;
    readonly random: () => number;
    readonly user: UserProfile;
    readonly serviceMs: number;
    /** @default Selector.Product */
    readonly selector?: Selector;
    /** Retries consume the retry budget. @default true */
    readonly usesRetryBudget?: boolean;
    /** Each partner has its own queue. @default true */
    readonly fairQueue?: boolean;
    /** Returns the service that a backend server of the given service calls next. */
    readonly nextService?: (service: string) => string | undefined;
    /** How often a backend server retries its own failed call. @default 0 */
    readonly backendRetries?: number;
}

export interface CallRequest {
    readonly entry: SimulatedHost;
    readonly service: string;
    readonly partner: string;
    readonly deadline: number;
}

export type OnCallEnd = (end: SimulatedOutcome) => void;

export interface ArrivingAttempt {
    readonly request: CallRequest;
    readonly host: SimulatedHost;
    /** Returns the outcome to the entry daemon. */
    readonly answer: (outcome: Either<Refusal, SimulatedOutcome>) => void;
}

/** The daemons on the hosts of the backend servers: admission, queueing, processing and load reports. */
export interface LocalDaemons {
    arrive(attempt: ArrivingAttempt): void;
    /** Returns the load that a response of the host reports, with the age of its reports. */
    reportedLoad(host: SimulatedHost): number;
}

/** Creates the local daemons. `startCall` makes the call of a backend server to the next service. */
export function createLocalDaemons(
    options: MeshOptions,
    startCall: (request: CallRequest, done: OnCallEnd) => void,
): LocalDaemons {
    const { board, queue, random, serviceMs } = options;
    const traffic = board.read("traffic");
    const usesFairQueue = options.fairQueue ?? true;
    let callNumber = 0;
    const capacities = (host: SimulatedHost) => availableCapacities(host.service, [host.server], queue.now());

    function arrive(attempt: ArrivingAttempt): void {
        const { request, host, answer } = attempt;
        const { service } = request;
        traffic.attempts.set(service, (traffic.attempts.get(service) ?? 0) + 1);
        if (!host.isUp) {
            return answer(Left(refusal(RefusalReason.Unreachable)));
        }
        const call: WaitingCall = {
            callId: String(callNumber++),
            partner: usesFairQueue ? request.partner : "all",
            share: 1,
            deadline: Math.min(request.deadline, queue.now() + maxQueueMs),
        };
        const decision = requestAdmission(host.admission, call, capacities(host), queue.now());
        const handlers = {
            [AdmissionKind.Admitted]: ({ server }: { server: BackendServer }) =>
                processCall(attempt, call, server),
            [AdmissionKind.Refused]: (refused: { refusal: Refusal }) => answer(Left(refused.refusal)),
            [AdmissionKind.Queued]: ({ dropped }: { dropped?: WaitingCall }) => {
                host.waiting.set(call, outcome =>
                    outcome.caseOf({
                        Left: refused => answer(Left(refused)),
                        Right: server => processCall(attempt, call, server),
                    }),
                );
                queue.schedule(call.deadline - queue.now(), () => {
                    if (removeWaiting(host.admission, call)) {
                        resolveWaitingCall(host, call, Left(refusal(RefusalReason.WaitTooLong)));
                    }
                });
                if (dropped !== undefined) {
                    resolveWaitingCall(host, dropped, Left(refusal(RefusalReason.OverShare)));
                }
            },
        } satisfies Record<AdmissionKind, (decision: never) => void>;
        handlers[decision.kind](decision as never);
    }

    function resolveWaitingCall(
        host: SimulatedHost,
        call: WaitingCall,
        outcome: Either<Refusal, BackendServer>,
    ): void {
        host.waiting.get(call)?.(outcome);
        host.waiting.delete(call);
    }

    /** Processes a call at its backend server, which then calls the next service if there is one. */
    function processCall(
        { request, host, answer }: ArrivingAttempt,
        call: WaitingCall,
        server: BackendServer,
    ): void {
        const startedAt = queue.now();
        // Service times are distributed exponentially.
        const serviceTimeMs = -Math.log(1 - random()) * serviceMs * host.serviceTimeFactor(startedAt);
        const release: OnCallEnd = outcome => {
            releaseSlot(host.admission, call, server.id, queue.now() - startedAt);
            admitWaitingCalls(host);
            answer(Right(host.isUp ? outcome : SimulatedOutcome.Lost));
        };
        const remainingMs = request.deadline - startedAt;
        queue.schedule(Math.min(serviceTimeMs, remainingMs), () =>
            serviceTimeMs > remainingMs ? release(SimulatedOutcome.Lost) : callNext(host, request, release),
        );
    }

    function callNext(host: SimulatedHost, request: CallRequest, release: OnCallEnd): void {
        const service = options.nextService?.(request.service);
        if (service === undefined) {
            return release(SimulatedOutcome.Completed);
        }
        const tryOnce = (retriesLeft: number): void =>
            startCall({ ...request, entry: host, service }, outcome => {
                if (
                    outcome !== SimulatedOutcome.Completed &&
                    retriesLeft > 0 &&
                    queue.now() < request.deadline
                ) {
                    return tryOnce(retriesLeft - 1);
                }
                release(outcome === SimulatedOutcome.Completed ? outcome : SimulatedOutcome.DownstreamFailed);
            });
        tryOnce(options.backendRetries ?? 0);
    }

    function admitWaitingCalls(host: SimulatedHost): void {
        const current = capacities(host);
        for (
            let next = admitNext(host.admission, current);
            next !== undefined;
            next = admitNext(host.admission, current)
        ) {
            resolveWaitingCall(host, next.call, Right(next.server));
        }
    }

    function reportedLoad(host: SimulatedHost): number {
        const index = host.loads.length - 1 - Math.floor(host.reportAgeMs / loadSampleMs);
        const reported =
            host.reportAgeMs === 0 ? loadOf(host.admission, capacities(host)) : host.loads[index];
        return host.reportsZeroLoad ? 0 : (reported ?? 0);
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
