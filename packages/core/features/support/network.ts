import {
    advanceDistribution,
    canonicalBytes,
    contentHash,
    createDistribution,
    InputKind,
    MessageKind,
    referencesOf,
    type Distribution,
    type DistributionInput,
    type IncomingMessage,
    type Spread,
} from "@tanagertray/core";
import fc from "fast-check";
import { makeVersion, type Version } from "./versions.js";

export interface NetworkReport {
    readonly run: number;
    readonly newest: number;
    readonly versions: readonly number[];
    readonly violations: readonly string[];
}

export interface NetworkOptions {
    spread: Spread;
    versions: number;
    runs: number;
    seed: number;
}

interface Host {
    readonly name: string;
    readonly region: string;
    state: Distribution;
}

const hostCount = 6;
/** A ring in which each host is also linked to the opposite one; hosts 0 to 3 are in one region. */
const neighbourIndexes = (i: number) => [
    ...new Set([(i + 1) % hostCount, (i + hostCount - 1) % hostCount, (i + 3) % hostCount]),
];

/** Delivers the versions to several state machines in orders that fast-check generates from a fixed seed. */
export function runNetwork(options: NetworkOptions): NetworkReport[] {
    const versions = Array.from({ length: options.versions }, (_, i) => makeVersion(i + 1));
    const steps = fc.array(fc.record({ action: fc.nat(9), pick: fc.nat(1_000_000), lost: fc.nat(9) }), {
        minLength: 150,
        maxLength: 400,
    });
    return fc.sample(steps, { seed: options.seed, numRuns: options.runs }).map((choices, run) => {
        const network = createNetwork(options.spread, versions);
        choices.forEach(choice => network.step(choice));
        network.settle();
        return { run, newest: options.versions, ...network.report() };
    });
}

/** Reports a newly held configuration that is older, has dangling references or mixes resources of several versions. */
export function findViolations(host: string, before: Distribution, { held }: Distribution): string[] {
    if (held === before.held) {
        return [];
    }
    const version = held?.manifest.version ?? 0;
    const resources = [...(held?.resources ?? [])];
    const isOlder = version < (before.held?.manifest.version ?? 0);
    const dangling = resources
        .flatMap(([, resource]) => referencesOf(resource))
        .filter(name => !held?.resources.has(name));
    const mismatched = resources.filter(
        ([name, resource]) => contentHash(canonicalBytes(resource)) !== held?.manifest.entries[name]?.hash,
    );
    return [
        ...(isOlder ? [`${host} moved to the lower version ${version}`] : []),
        ...dangling.map(name => `${host} has a dangling reference to ${name} in version ${version}`),
        ...mismatched.map(([name]) => `${host} holds ${name} from a version other than ${version}`),
    ];
}

interface Choice {
    readonly action: number;
    readonly pick: number;
    readonly lost: number;
}

export function createNetwork(spread: Spread, versions: readonly Version[]) {
    const services = [["s0"], ["s1"], ["s2"], ["s0", "s2"], [], ["s1"]];
    const hosts = Array.from({ length: hostCount }, (_, i): Host => {
        const region = i < 4 ? "r1" : "r2";
        const interest = { services: services[i] ?? [], outsideCallers: i === 4 };
        return { name: `h${i}`, region, state: createDistribution({ spread, region, interest }) };
    });
    const store = new Map<string, Uint8Array>();
    const queue: { to: Host; input: DistributionInput }[] = [];
    const violations: string[] = [];
    let now = 1_000;
    let accepted = 0;
    let drawCount = 0;
    // Deterministic, and different for each call.
    const random = () => ((drawCount++ * 7_919) % 1_000) / 1_000;

    function feed(host: Host, input: DistributionInput): void {
        const before = host.state;
        const { state, effects } = advanceDistribution(before, input, { now, random });
        host.state = state;
        violations.push(...findViolations(host.name, before, state));
        for (const { to, message } of effects.messages) {
            const target = hosts.find(other => "host" in to && other.name === to.host);
            if (target !== undefined) {
                const incoming: IncomingMessage = { from: host.name, receivedAt: now, message };
                queue.push({ to: target, input: { kind: InputKind.Message, incoming } });
            }
        }
        for (const hash of effects.reads) {
            const bytes = store.get(hash);
            const input = { kind: InputKind.StoredObject, hash, ...(bytes === undefined ? {} : { bytes }) };
            queue.push({ to: host, input });
        }
    }

    function acceptNext(): void {
        const version = versions[accepted];
        if (version === undefined) {
            return;
        }
        accepted += 1;
        version.parts.forEach(part => store.set(part.hash, part.bytes));
        store.set(version.hash, canonicalBytes(version.manifest));
        readHead(hosts[accepted % hostCount] as Host);
    }

    function readHead(host: Host): void {
        const version = versions[accepted - 1];
        if (version !== undefined) {
            const head = { version: accepted, manifestHash: version.hash };
            queue.push({ to: host, input: { kind: InputKind.Head, head } });
        }
    }

    function deliver(index: number): void {
        const [entry] = queue.splice(index, 1);
        if (entry !== undefined) {
            feed(entry.to, entry.input);
        }
    }

    function heartbeat(host: Host): void {
        const { held } = host.state;
        const message = {
            kind: MessageKind.Heartbeat,
            version: held?.manifest.version ?? 0,
            manifestHash: held?.manifestHash ?? "",
        } as const;
        for (const i of neighbourIndexes(hosts.indexOf(host))) {
            const incoming = { from: host.name, receivedAt: now, message };
            queue.push({ to: hosts[i] as Host, input: { kind: InputKind.Message, incoming } });
        }
    }

    hosts.forEach((host, i) => {
        const neighbours = neighbourIndexes(i).map(n => hosts[n] as Host);
        const links = new Map(neighbours.map(({ name, region }) => [name, { host: name, region }]));
        feed(host, { kind: InputKind.Links, links });
    });

    return {
        step({ action, pick, lost }: Choice): void {
            now += 100;
            if (action === 0) {
                acceptNext();
            } else if (action === 1) {
                const host = hosts[pick % hostCount] as Host;
                heartbeat(host);
                feed(host, { kind: InputKind.Tick });
            } else if (lost < 2) {
                queue.splice(pick % Math.max(1, queue.length), 1);
            } else {
                deliver(pick % Math.max(1, queue.length));
            }
        },
        /** Accepts the remaining versions and delivers all messages, with heartbeats and ticks for 20 s. */
        settle(): void {
            while (accepted < versions.length) {
                acceptNext();
            }
            readHead(hosts[0] as Host);
            for (let round = 0; round < 200; round += 1) {
                now += 100;
                hosts.forEach(host => (round % 10 === 0 ? heartbeat(host) : undefined));
                hosts.forEach(host => feed(host, { kind: InputKind.Tick }));
                for (let i = 0; queue.length > 0 && i < 5_000; i += 1) {
                    deliver(0);
                }
            }
        },
        report: () => ({
            versions: hosts.map(host => host.state.held?.manifest.version ?? 0),
            violations,
        }),
    };
}
