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
import { SimulatedEnd, type SimulatedHost, type SimulatedResult } from "./model.js";
import { Selector, selectors } from "./selectors.js";

/** Request and response of one call with their headers, in bytes. */
const callBytes = 8_192;

export interface Mesh {
    /** Makes a call and records its result. */
    call(request: CallRequest): void;
    /** Publishes which hosts offer what, as the membership does. */
    publish(usable: (host: SimulatedHost) => boolean): void;
}

/**
 * Carries calls through the product's decisions, with delays and service times in virtual time.
 * The `hosts` section must have been written.
 */
export function createMesh(options: MeshOptions): Mesh {
    const { board, queue, random, user } = options;
    const results: SimulatedResult[] = [];
    board.claimValue("results").write(results);
    const traffic = board.read("traffic");
    const choose = selectors[options.selector ?? Selector.Product];

    const hosts = new Map(board.read("hosts").map(host => [host.location.host, host]));
    const coldStarts = new Map(board.read("hosts").map(({ service }) => [service.name, service.coldStartMs]));

    const delayByTier = {
        [Tier.OwnHost]: 0,
        [Tier.OwnFailureDomain]: 0.1,
        [Tier.OwnRegion]: user.domainMs,
        [Tier.OtherRegions]: user.regionMs,
    } satisfies Record<Tier, number>;

    const local = createLocalDaemons(options, (request, done) => begin(request, done));

    function begin(request: CallRequest, done: (end: SimulatedEnd, attempts: number) => void): void {
        const { entry } = request;
        const excluded = new Set<string>();
        let retries = 0;
        recordCall(entry.budget);

        function next(): void {
            const target = pick(request, excluded);
            if (target === undefined) {
                return done(SimulatedEnd.Refused, excluded.size);
            }
            excluded.add(target.location.host);
            send({
                request,
                host: target,
                answer: outcome => outcome.caseOf({ Left: retry, Right: finish }),
            });
        }

        const finish = (end: SimulatedEnd) => done(end, excluded.size);

        function retry({ reason }: Refusal): void {
            const allowed =
                (options.budget ?? true) ? consumeRetry(entry.budget, retries) : retries < maxRetriesPerCall;
            if (isFinalRefusal(reason) || !allowed || queue.now() >= request.deadline) {
                return finish(SimulatedEnd.Refused);
            }
            retries += 1;
            next();
        }

        next();
    }

    function pick({ entry, service }: CallRequest, excluded: ReadonlySet<string>): SimulatedHost | undefined {
        const targets = entry.targets.get(service);
        const observations = observationsOf(entry, service);
        const coldStartMs = coldStarts.get(service) ?? 0;
        const selection = { observations, now: queue.now(), random, coldStartMs, excluded };
        const target = targets === undefined ? undefined : choose(targets, selection, entry.selectorState);
        return hosts.get(target?.host ?? "");
    }

    function send({ request, host, answer }: ArrivingAttempt): void {
        const tier = tierOf(request.entry.location, host.location);
        const delayMs = delayByTier[tier];
        const seen = observationAt(request, host);
        const startedAt = queue.now();
        recordCallStart(seen);
        if (tier === Tier.OtherRegions) {
            traffic.regionBytes += callBytes;
        }
        const back = (outcome: Either<Refusal, SimulatedEnd>) =>
            queue.schedule(delayMs, () => {
                recordCallEnd(seen);
                observe(seen, outcome, startedAt, host);
                answer(outcome);
            });
        queue.schedule(delayMs, () => local.arrive({ request, host, answer: back }));
    }

    function observe(
        seen: HostObservation,
        outcome: Either<Refusal, SimulatedEnd>,
        startedAt: number,
        host: SimulatedHost,
    ): void {
        outcome.caseOf({
            Left({ reason, retryAfterMs }) {
                recordRefusal(seen, queue.now(), { saturated: indicatesSaturation(reason), retryAfterMs });
                if (reason === RefusalReason.Unreachable) {
                    recordFailure(seen, queue.now());
                }
            },
            Right(end) {
                if (end === SimulatedEnd.Lost) {
                    return recordFailure(seen, queue.now());
                }
                recordSuccess(seen, queue.now() - startedAt, queue.now());
                recordLoad(seen, local.reportedLoad(host), queue.now());
            },
        });
    }

    return {
        call(request) {
            const startedAt = queue.now();
            begin(request, (end, attempts) =>
                results.push({
                    partner: request.partner,
                    startedAt,
                    durationMs: queue.now() - startedAt,
                    end,
                    attempts,
                }),
            );
        },
        publish(usable) {
            const records = [...hosts.values()].filter(usable).map(host => ({
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
    const known = entry.observations.get(service) ?? new Map<string, HostObservation>();
    entry.observations.set(service, known);
    return known;
}

function observationAt({ entry, service }: CallRequest, host: SimulatedHost): HostObservation {
    const known = observationsOf(entry, service);
    const seen = known.get(host.location.host) ?? createObservation();
    known.set(host.location.host, seen);
    return seen;
}
