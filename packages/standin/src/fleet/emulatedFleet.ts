import type { Event, Location, PlatformOperation } from "@tanagertray/core";
import type { KindTraffic } from "@tanagertray/daemon/adapters/peers/traffic";
import { startEmulatedHost, type EmulatedHost } from "./emulatedHost.js";
import { createEmulatedPlatform, type EmulatedPlatform } from "./emulatedPlatform.js";
import { createEmulatedConnections } from "./emulatedTransport.js";
import { createEventQueue, type EventQueue } from "./eventQueue.js";
import { createNetwork, profiles, type Network, type NetworkProfile } from "./network.js";

export interface EmulatedFleetOptions {
    readonly hosts: number;
    /** @default 9 */
    readonly domains?: number;
    /** @default 3 */
    readonly regions?: number;
    /** @default 4 */
    readonly services?: number;
    /**
     * Time within which the daemons start, in milliseconds.
     * @default 300
     */
    readonly startSpreadMs?: number;
    /** Longest time in which an accepted version should be in force, in milliseconds. */
    readonly freshnessMs?: number;
    /** @default profiles.azraq */
    readonly profile?: NetworkProfile;
    readonly random: () => number;
    /** @default () => undefined */
    readonly onEvent?: (host: string, event: Event) => void;
}

/** Time from the timers of a turn of the event loop to its poll, in milliseconds. */
const pollDelayMs = 0.001;

/** Messages and bytes that all hosts sent, of one kind, by whether they crossed regions. */
export interface SentTraffic {
    readonly sameRegion: ReadonlyMap<string, KindTraffic>;
    readonly crossRegion: ReadonlyMap<string, KindTraffic>;
}

/** The control planes of a whole fleet, in virtual time. */
export interface EmulatedFleet {
    readonly queue: EventQueue;
    readonly network: Network;
    readonly platform: EmulatedPlatform;
    readonly locations: readonly Location[];
    host(name: string): EmulatedHost | undefined;
    hosts(): readonly EmulatedHost[];
    /** Starts a host, with turns of the event loop of `turnMs` milliseconds if it is short of processor time. */
    start(name: string, options?: { readonly turnMs?: number }): void;
    /** Ends the process of a host; after a loss of power its connections only fall silent. */
    kill(name: string, options?: { readonly isSilent?: boolean }): void;
    /** Cuts the hosts for which the predicate holds off from all others, in both directions; `undefined` heals the cut. */
    partition(isInside: ((location: Location) => boolean) | undefined): void;
    /** Makes the platform unreachable from the hosts for which the predicate holds. */
    cutPlatform(isCut: (location: Location) => boolean): void;
    runUntil(timeMs: number, isDone?: () => boolean): Promise<void>;
    requests(): ReadonlyMap<PlatformOperation, number>;
    traffic(): SentTraffic;
}

/**
 * Creates a fleet whose hosts all start within `startSpreadMs`.
 *
 * @example
 * ```ts
 * const fleet = createEmulatedFleet({ hosts: 194, random: createRandom(1) });
 * fleet.platform.accept(configuration);
 * await fleet.runUntil(3_000);
 * fleet.hosts().every(host => host.isReady());
 * ```
 */
export function createEmulatedFleet(options: EmulatedFleetOptions): EmulatedFleet {
    const { domains = 9, regions = 3, services = 4, startSpreadMs = 300, random } = options;
    const { onEvent = () => undefined } = options;
    const queue = createEventQueue();
    const network = createNetwork(options.profile ?? profiles.azraq, random);
    let isInside: ((location: Location) => boolean) | undefined;
    let isPlatformCut: (location: Location) => boolean = () => false;
    const platform = createEmulatedPlatform({ queue, network, isReachable: from => !isPlatformCut(from) });
    const connections = createEmulatedConnections({
        queue,
        network,
        isReachable: (from, to) => isInside === undefined || isInside(from) === isInside(to),
        readAt: ({ host }, arrivesAt) => readAt(arrivesAt, turnsMs.get(host)),
    });
    const locations = Array.from({ length: options.hosts }, (_, index): Location => {
        const domain = index % domains;
        const suffix = Math.floor(random() * 0xffff_ffff).toString(36);
        return {
            host: `host-${index}-${suffix}`,
            failureDomain: `domain-${domain}`,
            region: `region-${Math.floor((domain * regions) / domains)}`,
        };
    });
    const indexes = new Map(locations.map(({ host }, index) => [host, index]));
    const running = new Map<string, EmulatedHost>();
    /** Lengths of the turns of the event loops of hosts that are short of processor time, in milliseconds. */
    const turnsMs = new Map<string, number>();
    const ended: EmulatedHost[] = [];

    function start(name: string, { turnMs }: { readonly turnMs?: number } = {}): void {
        if (turnMs === undefined) {
            turnsMs.delete(name);
        } else {
            turnsMs.set(name, turnMs);
        }
        const index = indexes.get(name) ?? 0;
        const location = locations[index] as Location;
        const address = `10.${index % domains}.${index >> 8}.${index & 255}:7001`;
        running.set(
            name,
            startEmulatedHost({
                location,
                address,
                service: `service-${index % services}`,
                queue,
                random,
                transport: connections.createTransport(location, address),
                platform: platform.createTransport(location),
                freshnessMs: options.freshnessMs,
                turnMs,
                onEvent: event => onEvent(name, event),
            }),
        );
    }

    locations.forEach(({ host }) => queue.schedule(random() * startSpreadMs, () => start(host)));
    return {
        queue,
        network,
        platform,
        locations,
        host: name => running.get(name),
        hosts: () => [...running.values()],
        start,
        kill(name, { isSilent = false } = {}) {
            const host = running.get(name);
            if (host !== undefined) {
                running.delete(name);
                ended.push(host);
                connections.drop(host.address, { isSilent });
                void host.close();
            }
        },
        partition: inside => (isInside = inside),
        cutPlatform: isCut => (isPlatformCut = isCut),
        runUntil: (timeMs, isDone = () => false) => queue.runSettled(timeMs, isDone),
        requests: () => platform.requests,
        traffic: () => sumTraffic([...running.values(), ...ended]),
    };
}

/** Time at which a packet is read: in the turn of the event loop that follows its arrival, after the timers. */
function readAt(arrivesAt: number, turnMs: number | undefined): number {
    return turnMs === undefined ? arrivesAt : Math.ceil(arrivesAt / turnMs) * turnMs + pollDelayMs;
}

function sumTraffic(hosts: readonly EmulatedHost[]): SentTraffic {
    const sum = { sameRegion: new Map<string, KindTraffic>(), crossRegion: new Map<string, KindTraffic>() };
    for (const { board } of hosts) {
        const traffic = board.read("peerTraffic");
        for (const scope of ["sameRegion", "crossRegion"] as const) {
            for (const [kind, counted] of traffic[scope]) {
                const before = sum[scope].get(kind);
                sum[scope].set(kind, before === undefined ? counted : addTraffic(before, counted));
            }
        }
    }
    return sum;
}

function addTraffic(a: KindTraffic, b: KindTraffic): KindTraffic {
    return {
        bytesIn: a.bytesIn + b.bytesIn,
        bytesOut: a.bytesOut + b.bytesOut,
        messagesIn: a.messagesIn + b.messagesIn,
        messagesOut: a.messagesOut + b.messagesOut,
    };
}
