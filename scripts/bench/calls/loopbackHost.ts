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
    type HostRecord,
    type Resource,
} from "@tanagertray/core";
import { createCalls } from "@tanagertray/daemon/adapters/calls/createCalls";
import { createClock } from "@tanagertray/daemon/adapters/clock";
import { closeListener, openListener } from "@tanagertray/daemon/adapters/httpListener";
import { createBoard } from "@tanagertray/daemon/board";
import { createRouting } from "@tanagertray/daemon/controllers/routing";
import type { AddressInfo } from "node:net";

/** The call adapter of one daemon on loopback. The benchmark writes the control sections of its blackboard. */
export interface LoopbackHost {
    readonly callsUrl: string;
    readonly peerAddress: string;
    readonly record: HostRecord;
    setRecords(records: readonly HostRecord[]): void;
    close(): Promise<void>;
}

export interface LoopbackOptions {
    readonly host: string;
    readonly key: string;
    /** `address:port` of the backend server on this host. */
    readonly backendServer?: string;
}

export const benchmarkService = "echo";
export const benchmarkCaller = "load";
const slots = 64;
const connections = 128;
const leaseMs = 3_600_000;

export const benchmarkAnswers = {
    deployment: "bench",
    partners: { own: { share: 1 } },
    services: {
        [benchmarkService]: {
            slots,
            connections,
            drainSeconds: 2,
            operations: [
                { name: "read", method: "GET", path: "/**", repeatable: true, deadlineMs: 8_000 },
                { name: "place", method: "POST", path: "/**", repeatable: false, deadlineMs: 8_000 },
            ],
        },
    },
    callers: { [benchmarkCaller]: { partner: "own", mayCall: [benchmarkService] } },
};

function createResources(): ReadonlyMap<string, Resource> {
    const { parts } = generateConfiguration(resolveAnswers(benchmarkAnswers), { version: 1 });
    const all = [...parts.values()].map(bytes => JSON.parse(Buffer.from(bytes).toString()) as Resource);
    return new Map(all.map(resource => [resourceName(resource.kind, resource.name), resource]));
}

export async function startLoopbackHost(options: LoopbackOptions): Promise<LoopbackHost> {
    const { host, key, backendServer } = options;
    const loopback = { address: "127.0.0.1", port: 0 };
    const board = createBoard(
        {
            host,
            failureDomain: "d",
            region: "r",
            listen: { calls: loopback, peer: loopback, admin: loopback },
            advertise: { peer: loopback },
            platform: { url: "http://127.0.0.1:9", watchMs: 0, freshnessMs: 6_000, patienceMs: 0 },
            peers: [],
            keys: { operator: [], backendServer: [], peer: [key] },
            spread: "eager",
            distances: defaultTierCosts,
            retries: { ratio: retryRatio, burst: retryBurst },
            shutdown: { lingerMs: 0, graceMs: undefined },
            linkMbps: 1_000,
            outsideCallers: true,
            log: { level: "error" },
            traces: { exporter: "none", url: undefined },
        },
        Date.now(),
    );
    const clock = createClock(board);
    const routing = createRouting(board);
    const calls = await createCalls(board);
    const peer = await openListener(loopback, calls.handleHop);
    const manifest = { version: 1, entries: {} };
    const manifestHash = contentHash(canonicalBytes(manifest));
    board
        .claimValue("configuration")
        .write({ held: { manifest, manifestHash, resources: createResources(), parts: new Map() } });
    board.claimValue("readiness").write({ state: "ready", reason: "benchmark", floor: 1, since: 0 });
    const servers = board.claimValue("backendServers");
    if (backendServer !== undefined) {
        servers.write(new Map([["b", createBackendServer(backendServer)]]));
    }
    const peerAddress = `127.0.0.1:${(peer.address() as AddressInfo).port}`;
    const offers = backendServer === undefined ? [] : [{ service: benchmarkService, slots, startedAt: 0 }];
    const record: HostRecord = { ...board.read("membership").self, peerAddress, offers };
    const membership = board.claimValue("membership");
    return {
        callsUrl: `http://127.0.0.1:${calls.port}`,
        peerAddress,
        record,
        setRecords(records) {
            const byHost = new Map(records.map(entry => [entry.host, entry]));
            membership.update(current => ({
                ...current,
                self: record,
                records: createBucketMap<HostRecord>().withChanges(byHost),
                compositionChanges: current.compositionChanges + 1,
            }));
        },
        async close() {
            await calls.close();
            const closed = closeListener(peer);
            peer.closeAllConnections();
            await closed;
            routing.close();
            clock.close();
            board.close();
        },
    };
}

function createBackendServer(address: string): BackendServer {
    return {
        id: "b",
        service: benchmarkService,
        address,
        incarnation: 1,
        counter: 1,
        state: "serving",
        announcedAt: Date.now() + leaseMs,
        firstSeenAt: 0,
    };
}
