import {
    advanceAcceptance,
    advanceDistribution,
    advanceSubmission,
    decideReadiness,
    headKey,
    hostsToAsk,
    InputKind,
    MessageKind,
    PlatformAnswer,
    PlatformOperation,
    ReadinessState,
    recordPeerVersion,
    recordWatermark,
    servableVersion,
    startAcceptance,
    startSubmission,
    type DistributionInput,
    type Head,
    type Link,
    type PeerMessage,
    type PlatformRequest,
    type PlatformResult,
    type Problem,
    type Progress,
    type Spread,
} from "@tanagertray/core";
import { createFleetLinks } from "./fleetLinks.js";
import {
    ChangeStep,
    chooseFault,
    createInjectedFaults,
    createRandom,
    platformName,
    readDeadlineMs,
    startHost,
    stepByMessageKind,
    stepByOperation,
    type FleetHost,
} from "./fleetModel.js";
import { createFakePlatform } from "./fakePlatform.js";
import { findViolations } from "./network.js";
import { makeAnswers, makeDanglingVersion } from "./versions.js";

const tickMs = 100;
const heartbeatMs = 1_000;
const failedAfterMs = 6_000;
const writeDeadlineMs = 5_000;

/** Simulates nine hosts in three failure domains and two regions, with a platform and operators. */
export function createFleet(spread: Spread, seed: number) {
    const random = createRandom(seed);
    const platform = createFakePlatform();
    const violations: string[] = [];
    const outcomes: string[] = [];
    const events: { at: number; run: () => void }[] = [];
    const listeners = new Map<ChangeStep, (from: string, to: string) => void>();
    const badVersions = new Set<number>();
    const injected = createInjectedFaults();
    let now = 1_000_000;

    const hosts = ["a", "b", "c"].flatMap(domain =>
        [0, 1, 2].map(i => startHost(`${domain}${i}`, spread, now)),
    );
    const links = createFleetLinks(hosts, injected, random);

    const held = (host: FleetHost) => host.state.held?.manifest.version ?? 0;
    const headRow = () => platform.row(headKey) as Head;
    const hostOf = (name: string) => hosts.find(host => host.name === name) as FleetHost;

    function reachStep(step: ChangeStep, from: string, to: string): void {
        const act = listeners.get(step);
        listeners.delete(step);
        act?.(from, to);
    }

    /** Schedules an event of a host process. It waits until a pause has ended and is dropped if the process restarted. */
    function schedule(host: FleetHost, delayMs: number, run: () => void): void {
        const { incarnation } = host;
        const runIfAlive = () => (host.incarnation === incarnation ? run() : undefined);
        events.push({
            at: now + delayMs,
            run: () => (host.pausedAt === undefined ? runIfAlive() : void host.waiting.push(runIfAlive)),
        });
    }

    function feed(host: FleetHost, input: DistributionInput): void {
        const before = host.state;
        const { state, effects } = advanceDistribution(before, input, { now, random });
        host.state = state;
        violations.push(...findViolations(host.name, before, state).map(fault => `${fault} at ${now}`));
        if (badVersions.has(held(host))) {
            violations.push(`${host.name} holds the bad version ${held(host)}`);
        }
        effects.messages.forEach(({ to, message }) => "host" in to && send(host, hostOf(to.host), message));
        for (const hash of effects.reads) {
            issue(host, { operation: PlatformOperation.ReadObject, hash }, result => {
                const bytes = result.answer === PlatformAnswer.Object ? { bytes: result.bytes } : {};
                if (result.answer === PlatformAnswer.Object && host.state.candidate !== undefined) {
                    reachStep(ChangeStep.PartsFetched, platformName, host.name);
                }
                feed(host, { kind: InputKind.StoredObject, hash, ...bytes });
            });
        }
        if (state.held !== before.held && held(host) > 1) {
            const source = before.candidate?.from ?? [...state.links.keys()][0] ?? platformName;
            reachStep(ChangeStep.Replaced, source, host.name);
        }
    }

    function send(from: FleetHost, to: FleetHost, message: PeerMessage): void {
        const step = stepByMessageKind[message.kind];
        if (step !== undefined && (message.kind !== MessageKind.Heartbeat || message.version > 1)) {
            reachStep(step, from.name, to.name);
        }
        if (!links.canDeliver(from, to)) {
            return;
        }
        injected.trace(now, `${from.name} -> ${to.name}`, message);
        const delay = 1 + Math.floor(random() * injected.maxMessageDelayMs);
        schedule(to, delay, () => receive(to, from.name, message));
    }

    function receive(host: FleetHost, from: string, message: PeerMessage): void {
        if (!host.state.links.has(from)) {
            return;
        }
        if (message.kind === MessageKind.Heartbeat) {
            host.watermarks.set(from, Math.max(message.version, host.watermarks.get(from) ?? 0));
            host.joining = recordPeerVersion(host.joining, message.version, now);
        } else if (message.kind === MessageKind.WatermarkRequest) {
            const version = host.watermarks.get(message.host) ?? 0;
            const answer = { host: message.host, version, incarnation: 1, held: held(host) };
            send(host, hostOf(from), { kind: MessageKind.Watermark, ...answer });
        } else if (message.kind === MessageKind.Watermark) {
            host.joining = recordWatermark(host.joining, from, message, now);
        }
        feed(host, { kind: InputKind.Message, incoming: { from, receivedAt: now, message } });
        updateReadiness(host, 0);
    }

    /** Sends a request to the platform. Half of the delay passes before the request arrives, half before the answer does. */
    function issue(host: FleetHost, request: PlatformRequest, done: (result: PlatformResult) => void): void {
        const delay = injected.storeSlow ? 200 + random() * 2_500 : 2;
        const isWrite = request.operation.startsWith("write");
        events.push({
            at: now + delay / 2,
            run: () => {
                const fault = chooseFault(injected, { host, request, delay, random });
                const result = platform.answer(request, fault);
                injected.trace(now, `${host.name} -> ${platformName}`, { request, answer: result.answer });
                const deadline = isWrite ? writeDeadlineMs : readDeadlineMs;
                const wait = result.answer === PlatformAnswer.Lost ? deadline : delay / 2;
                schedule(host, wait, () => done(result));
                if (request.operation === PlatformOperation.WriteRow && request.key === headKey) {
                    reachStep(ChangeStep.HeadMoved, host.name, platformName);
                    if (result.answer === PlatformAnswer.Lost) {
                        reachStep(ChangeStep.AnswerLost, host.name, platformName);
                    }
                }
            },
        });
    }

    function runExchange<S, R>(
        host: FleetHost,
        progress: Progress<S, R>,
        advance: (state: S, result: PlatformResult) => Progress<S, R>,
        done: (outcome: Extract<Progress<S, R>, { done: true }>["outcome"]) => void,
    ): void {
        if (progress.done) {
            return done(progress.outcome);
        }
        const { state, next } = progress;
        issue(host, next, result => runExchange(host, advance(state, result), advance, done));
        const step = stepByOperation[next.operation];
        if (step !== undefined) {
            reachStep(step, host.name, platformName);
        }
    }

    /** Submits answers through a host and then accepts the revision. */
    function submitChange(name: string, content: number, writeId: string): void {
        const host = hostOf(name);
        const own = { operator: writeId, now, writeId, knownVersion: host.head?.version ?? 0 };
        const request = { ...own, answers: makeAnswers(content), storedHashes: new Set<string>() };
        runExchange(host, startSubmission(request), advanceSubmission, submitted => {
            submitted.caseOf({
                Left: reason => void outcomes.push(`${writeId}: ${reason.code}`),
                Right: ({ number }) => {
                    const start = startAcceptance({ ...own, revision: number, writeId: `${writeId}-accept` });
                    runExchange(host, start, advanceAcceptance, accepted => {
                        outcomes.push(
                            `${writeId}: ${accepted.isRight() ? "accepted" : (accepted.extract() as Problem).code}`,
                        );
                        accepted.ifRight(head => handleHead(host, head));
                    });
                },
            });
        });
    }

    function handleHead(host: FleetHost, head: Head): void {
        host.head = head.version >= (host.head?.version ?? 0) ? head : host.head;
        feed(host, { kind: InputKind.Head, head });
    }

    function readHead(host: FleetHost): void {
        const isMember = (other: FleetHost) =>
            other.downSince === undefined || now < other.downSince + failedAfterMs;
        const readers = hosts.filter(other => other.domain === host.domain && isMember(other)).slice(0, 2);
        if (now < host.nextReadAt || (!readers.includes(host) && host.head !== undefined)) {
            return;
        }
        host.nextReadAt = now + writeDeadlineMs;
        const askedAt = now;
        issue(host, { operation: PlatformOperation.ReadRow, key: headKey }, result => {
            host.nextReadAt = now + heartbeatMs;
            host.reachable = result.answer !== PlatformAnswer.Lost;
            if (result.answer === PlatformAnswer.Row) {
                const head = result.row as Head;
                // As in the platform adapter, a stale read does not confirm the head.
                host.headAskedAt = head.version < (host.head?.version ?? 0) ? host.headAskedAt : askedAt;
                handleHead(host, head);
                if (head.version > 1) {
                    reachStep(ChangeStep.HeadRead, platformName, host.name);
                }
            }
        });
    }

    function updateReadiness(host: FleetHost, pausedForMs: number): void {
        const { head, headAskedAt, reachable } = host;
        const servable = head && servableVersion(head, host.state.rejectedHashes);
        const facts = {
            ...{ now, pausedForMs, held: held(host), head: servable, headAskedAt, reachable },
            ...{ linkedHosts: [...host.state.links.keys()], expectsPeers: true, shutdownRequested: false },
        };
        const { joining, hosts: asked } = hostsToAsk(decideReadiness(host.joining, facts), facts);
        host.joining = joining;
        asked.forEach(to => send(host, hostOf(to), { kind: MessageKind.WatermarkRequest, host: host.name }));
        const { state, floor } = joining.readiness;
        if (floor !== host.state.floor) {
            feed(host, { kind: InputKind.Floor, floor });
        }
        if (state === ReadinessState.Ready) {
            if (held(host) < host.served) {
                violations.push(`${host.name} serves ${held(host)} after ${host.served} at ${now}`);
            }
            host.served = Math.max(host.served, held(host));
        }
    }

    function updateLinks(host: FleetHost): void {
        const peers = links.peersOf(host);
        const currentLinks = host.state.links;
        if (peers.length !== currentLinks.size || peers.some(peer => !currentLinks.has(peer.name))) {
            const next = peers.map(({ name, region }): [string, Link] => [name, { host: name, region }]);
            feed(host, { kind: InputKind.Links, links: new Map(next) });
        }
    }

    function tick(host: FleetHost, pausedForMs: number): void {
        updateLinks(host);
        updateReadiness(host, pausedForMs);
        if (now % heartbeatMs === 0 && pausedForMs === 0) {
            const { held: own } = host.state;
            const version = own?.manifest.version ?? 0;
            const message = { kind: MessageKind.Heartbeat, version, manifestHash: own?.manifestHash ?? "" };
            [...host.state.links.keys()].forEach(name => send(host, hostOf(name), message));
        }
        feed(host, { kind: InputKind.Tick });
        readHead(host);
    }

    function runEvents(until: number): void {
        const nextEvent = () => events.sort((a, b) => a.at - b.at)[0];
        for (let event = nextEvent(); event !== undefined && event.at <= until; event = nextEvent()) {
            events.shift();
            now = Math.max(now, event.at);
            event.run();
        }
    }

    function runTick(): void {
        const next = now + tickMs;
        runEvents(next);
        now = next;
        links.update(now);
        hosts
            .filter(host => host.downSince === undefined && host.pausedAt === undefined)
            .forEach(host => tick(host, 0));
    }

    return {
        hosts,
        injected,
        violations,
        outcomes,
        submitChange,
        random,
        onStep: (step: ChangeStep, act: (from: string, to: string) => void) => void listeners.set(step, act),
        kill(name: string): void {
            Object.assign(hostOf(name), { downSince: now, incarnation: hostOf(name).incarnation + 1 });
        },
        revive(name: string): void {
            const { downSince, served, incarnation } = hostOf(name);
            if (downSince !== undefined) {
                Object.assign(hostOf(name), { ...startHost(name, spread, now), served, incarnation });
            }
        },
        pause: (name: string) => void (hostOf(name).pausedAt ??= now),
        resume(name: string): void {
            const host = hostOf(name);
            const pausedForMs = host.pausedAt === undefined ? 0 : now - host.pausedAt;
            host.pausedAt = undefined;
            if (host.downSince === undefined && pausedForMs > 0) {
                tick(host, pausedForMs);
                host.waiting.splice(0).forEach(run => run());
            }
        },
        /** Writes a head row for a version with dangling references, which no daemon would accept. */
        acceptBadVersion(): void {
            const before = headRow();
            const version = before.version + 1;
            const { hash, objects } = makeDanglingVersion(version, { declared: seed % 2 === 0 });
            objects.forEach(object =>
                platform.answer({ operation: PlatformOperation.WriteObject, ...object }),
            );
            const accepted = { ...before, version, manifestHash: hash, writeId: `bad-${version}` };
            platform.put(headKey, { ...accepted, history: [accepted, ...before.history] });
            badVersions.add(version);
        },
        newestGood: () => headRow().history.find(entry => !badVersions.has(entry.version))?.version ?? 0,
        headVersions: () =>
            platform.writes.filter(({ key }) => key === headKey).map(({ row }) => (row as Head).version),
        run: (ms: number) => Array.from({ length: ms / tickMs }, runTick),
        /** Hosts that are not ready or do not hold the version, with their state. */
        laggingHosts: (version: number) =>
            hosts
                .filter(
                    host => host.joining.readiness.state !== ReadinessState.Ready || held(host) !== version,
                )
                .map(host => `${host.name} ${host.joining.readiness.state} ${held(host)}`),
    };
}

export type Fleet = ReturnType<typeof createFleet>;
