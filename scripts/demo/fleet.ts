import { findFreePorts, startPlatform, type Platform } from "@tanagertray/standin";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { DemoBoard, DemoHost } from "./board.js";
import type { ControlByteMeter } from "./controlBytes.js";
import type { PlannedHost } from "./deployment.js";
import { keys } from "./keys.js";
import type { Processes } from "./processes.js";
import { isReady, readAdmin } from "./status.js";
import { waitUntil } from "./waiting.js";

const startTimeoutMs = 10_000;
/** Number of other hosts in the `peers` setting of each daemon, to which it opens its first links. */
const initialPeers = 3;

export interface Restart {
    /** Whether the daemon exited by itself after SIGTERM. */
    readonly graceful: boolean;
    /** Time from the start of the process until it was ready. */
    readonly readyMs: number;
}

export interface Fleet {
    start(signal: AbortSignal): Promise<void>;
    restartDaemon(host: DemoHost, signal: AbortSignal): Promise<Restart>;
    close(): Promise<void>;
}

/** Runs the platform, the daemons and the backend servers, and writes the `hosts` section. */
export function createFleet(board: DemoBoard, processes: Processes, meter: ControlByteMeter): Fleet {
    const section = board.claimValue("hosts");
    const folder = mkdtempSync(join(tmpdir(), "tanagertray-"));
    let platform: Platform | undefined;

    async function assignAddresses(planned: readonly PlannedHost[]): Promise<readonly DemoHost[]> {
        const ports = await findFreePorts(planned.length * 3);
        const addresses = ports.map(port => `127.0.0.1:${port}`);
        return planned.map((host, index) => ({
            ...host,
            calls: addresses[3 * index] as string,
            peer: addresses[3 * index + 1] as string,
            admin: addresses[3 * index + 2] as string,
            settingsFile: join(folder, `${host.host}.jsonc`),
            backendServer: "",
        }));
    }

    async function writeSettings(hosts: readonly DemoHost[], index: number): Promise<void> {
        const { host, failureDomain, region, calls, peer, admin, settingsFile } = hosts[index] as DemoHost;
        const url = await meter.addHost(platform?.port ?? 0);
        const others = [...hosts.slice(index + 1), ...hosts.slice(0, index)];
        const settings = {
            ...board.read("deployment").settings,
            host,
            failureDomain,
            region,
            listen: { calls, peer, admin },
            platform: { url },
            peers: others.slice(0, initialPeers).map(other => other.peer),
            keys: { operator: [keys.operator], backendServer: [keys.backendServer], peer: [keys.peer] },
            log: { level: "error" },
        };
        writeFileSync(settingsFile, JSON.stringify(settings), { mode: 0o600 });
    }

    function startDaemon(host: DemoHost): void {
        const { child } = processes.start(daemonName(host), [
            "packages/daemon/dist/main.js",
            "--settings",
            host.settingsFile,
        ]);
        child.stdout?.resume();
    }

    async function startBackendServer(host: DemoHost): Promise<DemoHost> {
        const { slots, connections } = board.read("deployment").services[host.service] ?? {};
        const args = {
            id: `${host.service}-${host.host}`,
            service: host.service,
            daemon: `http://${host.admin}`,
            slots: String(slots),
            connections: String(connections),
        };
        const { firstLine } = processes.start(
            `backend server ${host.host}`,
            [
                "packages/standin/dist/backendServerMain.js",
                ...Object.entries(args).flatMap(([name, value]) => [`--${name}`, value]),
            ],
            { TANAGERTRAY_BACKEND_TOKEN: keys.backendServer },
        );
        const { url } = JSON.parse(await firstLine) as { url: string };
        return { ...host, backendServer: url };
    }

    return {
        async start(signal) {
            platform = await startPlatform();
            const hosts = await assignAddresses(board.read("deployment").hosts);
            await Promise.all(hosts.map((_host, index) => writeSettings(hosts, index)));
            signal.throwIfAborted();
            hosts.forEach(startDaemon);
            section.write(hosts);
            await waitUntil("every daemon answers /healthz", startTimeoutMs, signal, async () => {
                const answers = await Promise.all(hosts.map(host => readAdmin(host, "/healthz")));
                return !answers.includes(undefined);
            });
            section.write(await Promise.all(hosts.map(startBackendServer)));
        },
        async restartDaemon(host, signal) {
            const graceful = await processes.stop(daemonName(host));
            signal.throwIfAborted();
            const startedAt = performance.now();
            startDaemon(host);
            await waitUntil(`${host.host} is ready after its restart`, startTimeoutMs, signal, () =>
                isReady(host),
            );
            return { graceful, readyMs: Math.round(performance.now() - startedAt) };
        },
        async close() {
            await platform?.close();
            rmSync(folder, { recursive: true, force: true });
        },
    };
}

function daemonName(host: DemoHost): string {
    return `daemon ${host.host}`;
}
