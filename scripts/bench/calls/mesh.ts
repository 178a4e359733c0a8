import {
    consumeRetry,
    createObservation,
    findTargets,
    indicatesSaturation,
    isFinalRefusal,
    maxRetriesPerCall,
    recordCall,
    recordCallEnd,
    recordCallStart,
    recordFailure,
    recordLoad,
    recordRefusal,
    recordSuccess,
    RefusalReason,
    Tier,
    tierOf,
    type HostObservation,
    type Refusal,
} from "@tanagertray/core";
import type { Either } from "purify-ts/Either";
import {
    createLocalDaemons,
    type ArrivingAttempt,
    type CallRequest,
    type MeshOptions,
} from "./localDaemon.js";
import { SimulatedOutcome, type SimulatedHost, type SimulatedResult } from "./model.js";
import { Selector, selectors } from "./selectors.js";

/** Size of the request and response of one call with their headers, in bytes. */
const callBytes = 8_192;

export interface Mesh {
    /** Starts a call and records its result when it ends. */
    call(request: CallRequest): void;
    /** Publishes the offers of the usable hosts to all hosts, as the membership does. */
    publish(isUsable: (host: SimulatedHost) => boolean): void;
}

/**
 * Simulates calls with the decisions of the product, and with network delays and service times in virtual time.
 * The `hosts` section must be written first.
 */
export function createMesh(options: MeshOptions): Mesh {
    const { board, queue, random, user } = options;
    const results: SimulatedResult[] = [];
    board.claimValue("results").write(results);
    const traffic = board.read("traffic");
    const chooseTarget = selectors[options.selector ?? Selector.Product];

    const hosts = new Map(board.read("hosts").map(host => [host.location.host, host]));
    const coldStarts = new Map(board.read("hosts").map(({ service }) => [service.name, service.coldStartMs]));

    const delayByTier = {
        [Tier.OwnHost]: 0,
        [Tier.OwnFailureDomain]: 0.1,
        [Tier.OwnRegion]: user.domainMs,
        [Tier.OtherRegions]: user.regionMs,
    } satisfies Record<Tier, number>;

    const localDaemons = createLocalDaemons(options, (request, done) => startCall(request, done));

    function startCall(request: CallRequest, done: (end: SimulatedOutcome, attempts: number) => void): void {
        const { entry } = request;
        const excluded = new Set<string>();
        let retries = 0;
        recordCall(entry.budget);

        function tryNextTarget(): void {
            const target = pickTarget(request, excluded);
            if (target === undefined) {
                return done(SimulatedOutcome.Refused, excluded.size);
            }
            excluded.add(target.location.host);
            sendAttempt({
                request,
                host: target,
                answer: outcome => outcome.caseOf({ Left: retryAfterRefusal, Right: finish }),
            });
        }

        const finish = (outcome: SimulatedOutcome) => done(outcome, excluded.size);

        function retryAfterRefusal({ reason }: Refusal): void {
            const isRetryAllowed =
                (options.usesRetryBudget ?? true)
                    ? consumeRetry(entry.budget, retries)
                    : retries < maxRetriesPerCall;
            if (isFinalRefusal(reason) || !isRetryAllowed || queue.now() >= request.deadline) {
                return finish(SimulatedOutcome.Refused);
            }
            retries += 1;
            tryNextTarget();
        }

        tryNextTarget();
    }

    function pickTarget(
        { entry, service }: CallRequest,
        excluded: ReadonlySet<string>,
    ): SimulatedHost | undefined {
        const targets = entry.targets.get(service);
        const observations = observationsOf(entry, service);
        const coldStartMs = coldStarts.get(service) ?? 0;
        const selection = { observations, now: queue.now(), random, coldStartMs, excluded };
        const target =
            targets === undefined ? undefined : chooseTarget(targets, selection, entry.selectorState);
        return hosts.get(target?.host ?? "");
    }

    function sendAttempt({ request, host, answer }: ArrivingAttempt): void {
        const tier = tierOf(request.entry.location, host.location);
        const delayMs = delayByTier[tier];
        const observation = observationAt(request, host);
        const startedAt = queue.now();
        recordCallStart(observation);
        if (tier === Tier.OtherRegions) {
            traffic.regionBytes += callBytes;
        }
        const returnOutcome = (outcome: Either<Refusal, SimulatedOutcome>) =>
            queue.schedule(delayMs, () => {
                recordCallEnd(observation);
                recordOutcome(observation, outcome, startedAt, host);
                answer(outcome);
            });
        queue.schedule(delayMs, () => localDaemons.arrive({ request, host, answer: returnOutcome }));
    }

    function recordOutcome(
        observation: HostObservation,
        outcome: Either<Refusal, SimulatedOutcome>,
        startedAt: number,
        host: SimulatedHost,
    ): void {
        outcome.caseOf({
            Left({ reason, retryAfterMs }) {
                recordRefusal(observation, queue.now(), {
                    saturated: indicatesSaturation(reason),
                    retryAfterMs,
                });
                if (reason === RefusalReason.Unreachable) {
                    recordFailure(observation, queue.now());
                }
            },
            Right(callOutcome) {
                if (callOutcome === SimulatedOutcome.Lost) {
                    return recordFailure(observation, queue.now());
                }
                recordSuccess(observation, queue.now() - startedAt, queue.now());
                recordLoad(observation, localDaemons.reportedLoad(host), queue.now());
            },
        });
    }

    return {
        call(request) {
            const startedAt = queue.now();
            startCall(request, (outcome, attempts) =>
                results.push({
                    partner: request.partner,
                    startedAt,
                    durationMs: queue.now() - startedAt,
                    outcome,
                    attempts,
                }),
            );
        },
        publish(isUsable) {
            const records = [...hosts.values()].filter(isUsable).map(host => ({
                ...host.location,
                incarnation: 1,
                counter: 1,
                state: "alive" as const,
                peerAddress: host.server.address,
                offers: [
                    { service: host.service.name, slots: host.service.slots, startedAt: host.startedAt },
                ],
                version: 1,
            }));
            hosts.forEach(host => (host.targets = findTargets(host.location, records)));
        },
    };
}

function observationsOf(entry: SimulatedHost, service: string): Map<string, HostObservation> {
    const observations = entry.observations.get(service) ?? new Map<string, HostObservation>();
    entry.observations.set(service, observations);
    return observations;
}

function observationAt({ entry, service }: CallRequest, host: SimulatedHost): HostObservation {
    const observations = observationsOf(entry, service);
    const observation = observations.get(host.location.host) ?? createObservation();
    observations.set(host.location.host, observation);
    return observation;
}
