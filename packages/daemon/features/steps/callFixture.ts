import {
    canonicalBytes,
    contentHash,
    createBucketMap,
    defaultTierCosts,
    generateConfiguration,
    resolveAnswers,
    resourceName,
    retryBurst,
    retryRatio,
    type BackendServer,
    type Event,
    type HostRecord,
    type IncomingMessage,
    type Resource,
    type Span,
} from "@tanagertray/core";
import { createCalls, type Calls } from "@tanagertray/daemon/adapters/calls/createCalls";
import { createClock } from "@tanagertray/daemon/adapters/clock";
import { closeListener, openListener } from "@tanagertray/daemon/adapters/httpListener";
import { createBoard, type Board } from "@tanagertray/daemon/board";
import { createRouting } from "@tanagertray/daemon/controllers/routing";
import type { Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { openBackend, type Run } from "./callBackend.js";

/** A deployment on loopback: daemons with fake control sections, and backend servers that record runs in a ledger. */

const drainSeconds = 2;

const operations = [
    { name: "read", method: "GET", path: "/**", repeatable: true, deadlineMs: 8_000 },
    {
        name: "put",
        method: "PUT",
        path: "/**",
        repeatable: true,
        deadlineMs: 8_000,
        maxBodyBytes: 33_554_432,
    },
    {
        name: "place",
        method: "POST",
        path: "/**",
        repeatable: false,
        deadlineMs: 8_000,
        maxBodyBytes: 33_554_432,
    },
    {
        name: "small",
        method: "PATCH",
        path: "/**",
        repeatable: false,
        deadlineMs: 8_000,
        maxBodyBytes: 1_000,
    },
];

function resources(slots: number): ReadonlyMap<string, Resource> {
    const answers = {
        deployment: "test",
        partners: { east: { share: 1 }, west: { share: 1 } },
        services: { orders: { slots, connections: 100, drainSeconds, operations } },
        callers: {
            crews: { partner: "east", mayCall: ["orders"] },
            rivals: { partner: "west", mayCall: [] },
        },
    };
    const { parts } = generateConfiguration(resolveAnswers(answers), { version: 1 });
    const allResources = [...parts.values()].map(
        bytes => JSON.parse(Buffer.from(bytes).toString()) as Resource,
    );
    return new Map(allResources.map(resource => [resourceName(resource.kind, resource.name), resource]));
}

export interface TestHost {
    readonly name: string;
    readonly board: Board;
    readonly calls: Calls;
    readonly backend: Server;
    readonly connections: Set<Socket>;
    readonly peer: Server;
    setServer(change: Partial<BackendServer>): void;
    readonly events: Event[];
    readonly spans: Span[];
    close(): Promise<void>;
}

export interface Deployment {
    readonly hosts: TestHost[];
    readonly ledger: Run[];
    /** Ids of calls whose connection the backend server breaks on their first run. */
    readonly brokenCalls: Set<string>;
    /** Changes the record of a host on all hosts. */
    setRecord(name: string, change: Partial<HostRecord>): void;
    close(): Promise<void>;
}

export interface DeploymentOptions {
    readonly hosts: number;
    readonly slots: number;
    /** Whether host 0 has no backend server. */
    readonly entryLacksBackend?: boolean;
    /** Delay of messages between daemons, in milliseconds. */
    readonly linkDelayMs?: number;
    /** @default 1000 */
    readonly linkMbps?: number;
}

/** Deployments by the host that runs the calls of host 0. */
export const placements: Readonly<Record<string, Pick<DeploymentOptions, "hosts" | "entryLacksBackend">>> = {
    "its own": { hosts: 1 },
    another: { hosts: 2, entryLacksBackend: true },
};

export async function createDeployment({
    hosts: count,
    slots,
    entryLacksBackend = false,
    linkDelayMs = 0,
    linkMbps = 1_000,
}: DeploymentOptions): Promise<Deployment> {
    const ledger: Run[] = [];
    const brokenCalls = new Set<string>();
    const hosts: TestHost[] = [];
    const records = new Map<string, HostRecord>();
    for (let i = 0; i < count; i += 1) {
        const offersService = !(entryLacksBackend && i === 0);
        hosts.push(
            await createHost(`h${i}`, {
                slots,
                offersService,
                ledger,
                brokenCalls,
                records,
                hosts,
                linkDelayMs,
                linkMbps,
            }),
        );
    }
    const publish = () => publishers.get(records)?.forEach(publishRecord => publishRecord());
    publish();
    await new Promise(resolve => setTimeout(resolve, 20));
    return {
        hosts,
        ledger,
        brokenCalls,
        setRecord(name: string, change: Partial<HostRecord>) {
            records.set(name, { ...(records.get(name) as HostRecord), ...change });
            publish();
        },
        async close() {
            await Promise.all(hosts.map(host => host.close()));
        },
    };
}

const publishers = new WeakMap<Map<string, HostRecord>, (() => void)[]>();

interface HostOptions {
    readonly slots: number;
    readonly offersService: boolean;
    readonly ledger: Run[];
    readonly brokenCalls: Set<string>;
    readonly records: Map<string, HostRecord>;
    readonly hosts: TestHost[];
    readonly linkDelayMs: number;
    readonly linkMbps: number;
}

async function createHost(name: string, options: HostOptions): Promise<TestHost> {
    const { slots, offersService, ledger, brokenCalls, records, linkMbps } = options;
    const loopback = { address: "127.0.0.1", port: 0 };
    const board = createBoard(
        {
            host: name,
            failureDomain: "d1",
            region: "r1",
            listen: { calls: loopback, peer: loopback, admin: loopback },
            advertise: { peer: loopback },
            platform: { url: "http://127.0.0.1:9", watchMs: 0, freshnessMs: 6_000, patienceMs: 0 },
            peers: [],
            keys: { operator: [], backendServer: [], peer: ["new-key", "old-key"] },
            spread: "eager",
            distances: defaultTierCosts,
            retries: { ratio: retryRatio, burst: retryBurst },
            shutdown: { lingerMs: 0, graceMs: undefined },
            linkMbps,
            outsideCallers: true,
            log: { level: "info" },
            traces: { exporter: "none", url: undefined },
        },
        Date.now(),
    );
    const clock = createClock(board);
    const routing = createRouting(board);
    const calls = await createCalls(board);
    const peer = await openListener(loopback, calls.handleHop);
    const connections = new Set<Socket>();
    const backend = await openBackend(name, ledger, brokenCalls, connections);
    const configuration = board.claimValue("configuration");
    const manifest = { version: 1, entries: {} };
    const manifestHash = contentHash(canonicalBytes(manifest));
    configuration.write({
        held: { manifest, manifestHash, resources: resources(slots), parts: new Map() },
    });
    board.claimValue("readiness").write({ state: "ready", reason: "test", floor: 1, since: 0 });
    const servers = board.claimValue("backendServers");
    let server: BackendServer = {
        id: "s1",
        service: "orders",
        address: `127.0.0.1:${portOf(backend)}`,
        incarnation: 1,
        counter: 1,
        state: "serving",
        announcedAt: Date.now() + 3_600_000,
        firstSeenAt: 0,
    };
    const events: Event[] = [];
    const spans: Span[] = [];
    board.follow("callEvents", event => events.push(event));
    board.follow("spans", span => spans.push(span));
    const record: HostRecord = {
        ...board.read("membership").self,
        peerAddress: `127.0.0.1:${portOf(peer)}`,
        offers: offersService ? [{ service: "orders", slots, startedAt: 0 }] : [],
    };
    records.set(name, record);
    const membership = board.claimValue("membership");
    const publish = () =>
        membership.update(current => ({
            ...current,
            self: record,
            records: createBucketMap<HostRecord>().withChanges(records),
            compositionChanges: current.compositionChanges + 1,
        }));
    publishers.set(records, [...(publishers.get(records) ?? []), publish]);
    if (offersService) {
        servers.write(new Map([["s1", server]]));
    }
    relayMessages(name, board, options);
    return {
        name,
        board,
        calls,
        backend,
        connections,
        peer,
        events,
        spans,
        setServer(change) {
            server = { ...server, ...change };
            servers.write(new Map([["s1", server]]));
        },
        async close() {
            await calls.close();
            const closed = closeListener(peer);
            peer.closeAllConnections();
            await closed;
            connections.forEach(socket => socket.destroy());
            backend.close();
            routing.close();
            clock.close();
            board.close();
        },
    };
}

const inboxes = new WeakMap<Board, (message: IncomingMessage) => void>();

/** Delivers messages between the daemons in place of their links. */
function relayMessages(name: string, board: Board, { hosts, linkDelayMs }: HostOptions): void {
    const inbox = board.claimFeed("peerInbox");
    inboxes.set(board, message => inbox.append(message));
    board.follow("callsOutbox", ({ to, message }) => {
        const target = hosts.find(host => "host" in to && host.name === to.host);
        const deliver = () =>
            target === undefined
                ? undefined
                : inboxes.get(target.board)?.({ from: name, receivedAt: Date.now(), message });
        if (linkDelayMs > 0) {
            setTimeout(deliver, linkDelayMs);
        } else {
            deliver();
        }
    });
}

function portOf(server: Server): number {
    return (server.address() as AddressInfo).port;
}
