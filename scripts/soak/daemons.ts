import { startSiteDaemon } from "@tanagertray/standin";
import { join } from "node:path";
import type { DaemonProcess, SoakBoard } from "./board.js";
import { FaultKind, handleFaults, Link, type FaultHandler } from "./faults.js";
import { reachableAddress, type Site, type SiteHost } from "./site.js";

export interface Processes {
    close(): Promise<void>;
}

/** Runs the daemon of each host, sends it signals, and restarts it after it has exited. */
export function createDaemons(board: SoakBoard, { siteHosts }: Site, folder: string): Processes {
    const daemons = board.claimValue("daemons");
    /** Delay between the exit of a process and the next start, by host, in milliseconds. */
    const restartDelayMs = new Map<number, number>();
    let closed = false;

    function updateDaemon(
        startedAt: number,
        host: number,
        fields: (daemon: DaemonProcess) => Partial<DaemonProcess>,
    ): void {
        daemons.update(before =>
            before.map(daemon =>
                daemon.host === host && daemon.startedAt === startedAt
                    ? { ...daemon, ...fields(daemon) }
                    : daemon,
            ),
        );
    }

    function start(siteHost: SiteHost): void {
        if (closed) {
            return;
        }
        const { host, name, daemonAddresses, storeEndpoint } = siteHost;
        const daemon = startSiteDaemon({
            ...siteHost,
            host: name,
            addresses: daemonAddresses,
            advertisedPeer: reachableAddress(siteHost, Link.Peer, daemonAddresses[1]),
            store: reachableAddress(siteHost, Link.Store, storeEndpoint.address),
            folder,
            logFile: join(folder, `${name}.log`),
        });
        const startedAt = Date.now();
        daemons.update(before => [...before, { host, startedAt, daemon, signals: [] }]);
        void daemon.exited.then(exit => {
            updateDaemon(startedAt, host, () => ({ exit, endedAt: Date.now() }));
            setTimeout(() => start(siteHost), restartDelayMs.get(host) ?? 0);
        });
    }

    function signal(host: number, name: NodeJS.Signals): void {
        const running = runningDaemon(board, host);
        if (running !== undefined) {
            updateDaemon(running.startedAt, host, ({ signals }) => ({
                signals: [...signals, { name, at: Date.now() }],
            }));
            running.daemon.signal(name);
        }
    }

    const signalHosts = (name: NodeJS.Signals): FaultHandler => ({
        begin: ({ hosts, durationMs }) =>
            hosts.forEach((host, at) => {
                restartDelayMs.set(host, (durationMs * (at + 1)) / hosts.length);
                signal(host, name);
            }),
    });

    handleFaults(board, {
        [FaultKind.StopDaemon]: signalHosts("SIGTERM"),
        [FaultKind.KillDaemon]: signalHosts("SIGKILL"),
        [FaultKind.KillAllDaemons]: signalHosts("SIGKILL"),
        [FaultKind.LosePower]: signalHosts("SIGKILL"),
        [FaultKind.PauseDaemon]: {
            begin: ({ hosts }) => hosts.forEach(host => signal(host, "SIGSTOP")),
            end: ({ hosts }) => hosts.forEach(host => signal(host, "SIGCONT")),
        },
    });
    const killAll = () => siteHosts.forEach(({ host }) => signal(host, "SIGKILL"));
    // Backend servers exit when their IPC channel to this process closes; daemons would keep running.
    process.once("exit", killAll);
    siteHosts.forEach(start);
    return {
        async close() {
            closed = true;
            process.off("exit", killAll);
            killAll();
            await Promise.all(board.read("daemons").map(({ daemon }) => daemon.exited));
        },
    };
}

/** Returns the running process of the host's daemon. */
export function runningDaemon(board: SoakBoard, host: number): DaemonProcess | undefined {
    return board.read("daemons").findLast(daemon => daemon.host === host && daemon.exit === undefined);
}
