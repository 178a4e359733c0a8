import type { SiteServerCommand, SiteServerReport } from "@tanagertray/standin/siteServerMain";
import { createStallMonitor } from "@tanagertray/standin";
import { fork, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import type { ServerProcess, SoakBoard } from "./board.js";
import type { Processes } from "./daemons.js";
import { handleFaults, Link } from "./faults.js";
import type { Capacity } from "./schedule.js";
import { createServerFaults } from "./serverFaults.js";
import { reachableAddress, type Site, type SiteHost } from "./site.js";

const program = "packages/standin/dist/siteServerMain.js";

/** Runs the backend server of each host and starts a new one after it has exited. */
export function createServers(board: SoakBoard, { siteHosts }: Site, capacity: Capacity): Processes {
    const servers = board.claimValue("servers");
    const runs = board.claimFeed("runs");
    /** Options of the next process, by host. */
    const nextProcesses = new Map<number, { readonly restartDelayMs: number; readonly id?: string }>();
    /** Index of the host whose address the backend server uses, by its own host. */
    const addressHosts = new Map(siteHosts.map(({ host }) => [host, host]));
    const stalls = createStallMonitor();
    let processCount = 0;
    let closed = false;

    function updateServer(process: ServerProcess["process"], fields: Partial<ServerProcess>): void {
        servers.update(before =>
            before.map(server => (server.process === process ? { ...server, ...fields } : server)),
        );
    }

    function start(siteHost: SiteHost): void {
        if (closed) {
            return;
        }
        const { host, service } = siteHost;
        const addressHost = siteHosts[addressHosts.get(host) ?? host] as SiteHost;
        const life = (processCount += 1);
        const id = nextProcesses.get(host)?.id ?? `i-${host}-${life}`;
        const process = forkServer(siteHost, { addressHost, id, capacity });
        const server = { life, host, id, service, process, signals: [], hasEnded: false, isLeaving: false };
        servers.update(before => [...before, server]);
        nextProcesses.delete(host);
        const origin = { life, host, addressHost: addressHost.host, server: id, service };
        const isRelayed = addressHost.relays.size + siteHost.relays.size > 0;
        const reportHandlers = {
            started: () => {},
            run: ({ event: _event, ...run }) =>
                runs.append({ ...run, ...origin, relaysStalledMs: isRelayed ? stalls.recentMs() : 0 }),
            acknowledged: ({ status, at: leftAt }) => {
                const current = board.read("servers").find(other => other.process === process);
                if (status === 200 && current?.isLeaving === true && current.leftAt === undefined) {
                    updateServer(process, { leftAt });
                }
            },
        } satisfies { [E in SiteServerReport["event"]]: (report: SiteServerReport & { event: E }) => void };
        process.on("message", (report: SiteServerReport) => reportHandlers[report.event](report as never));
        process.once("exit", () => {
            updateServer(process, { hasEnded: true });
            setTimeout(() => start(siteHost), nextProcesses.get(host)?.restartDelayMs ?? 0);
        });
    }

    const runningServer = (host: number) =>
        board.read("servers").findLast(server => server.host === host && !server.hasEnded);

    function signal(host: number, name: NodeJS.Signals): void {
        const server = runningServer(host);
        if (server !== undefined) {
            updateServer(server.process, { signals: [...server.signals, { name, at: Date.now() }] });
            server.process.kill(name);
        }
    }

    function send(host: number, command: SiteServerCommand): void {
        const server = runningServer(host);
        if (server?.process.connected === true) {
            const isLeaving = server.isLeaving || command.command !== "setMode";
            updateServer(server.process, { isLeaving });
            server.process.send(command, () => {});
        }
    }

    handleFaults(
        board,
        createServerFaults({
            runningServer,
            signal,
            send,
            replace: (fault, name, keepsId = false) =>
                fault.hosts.forEach((host, at) => {
                    const id = keepsId ? runningServer(host)?.id : undefined;
                    const restartDelayMs = (fault.durationMs * (at + 1)) / fault.hosts.length;
                    nextProcesses.set(host, { restartDelayMs, ...(id === undefined ? {} : { id }) });
                    signal(host, name);
                }),
            swapAddresses(first, second) {
                const [ofFirst = first, ofSecond = second] = [
                    addressHosts.get(first),
                    addressHosts.get(second),
                ];
                addressHosts.set(first, ofSecond).set(second, ofFirst);
            },
        }),
    );
    siteHosts.forEach(start);
    return {
        async close() {
            closed = true;
            stalls.close();
            const running = board.read("servers").filter(({ hasEnded }) => !hasEnded);
            await Promise.all(
                running.map(({ process }) => {
                    const exited = once(process, "exit");
                    process.kill("SIGKILL");
                    return exited;
                }),
            );
        },
    };
}

/** Starts the backend server of one host at the address of that host or of another one. */
function forkServer(
    { service, daemonAddresses }: SiteHost,
    {
        addressHost,
        id,
        capacity,
    }: { readonly addressHost: SiteHost; readonly id: string; readonly capacity: Capacity },
): ChildProcess {
    const announced = reachableAddress(addressHost, Link.Server, `127.0.0.1:${addressHost.serverPort}`);
    return fork(program, [
        ...["--id", id, "--service", service, "--daemon", daemonAddresses[3], "--checks-instance"],
        ...["--port", String(addressHost.serverPort), "--announced", announced],
        ...["--work-ms", String(capacity.workMs), "--slots", String(capacity.slots)],
    ]);
}
