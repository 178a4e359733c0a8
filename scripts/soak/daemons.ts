import { startSiteDaemon } from "@tanagertray/standin";
import { join } from "node:path";
import type { DaemonLife, SoakBoard } from "./board.js";
import { FaultKind, followFaults, Link, type FaultHandler } from "./faults.js";
import { reachedAt, type Place, type Site } from "./site.js";

export interface Processes {
    close(): Promise<void>;
}

/** Runs the daemon of each host, sends it signals, and starts it again when it has ended. */
export function createDaemons(board: SoakBoard, { places }: Site, folder: string): Processes {
    const daemons = board.claimValue("daemons");
    /** Time between the end of a process and the next start, by host, in milliseconds. */
    const downMs = new Map<number, number>();
    let closed = false;

    function change(
        startedAt: number,
        host: number,
        fields: (life: DaemonLife) => Partial<DaemonLife>,
    ): void {
        daemons.update(before =>
            before.map(life =>
                life.host === host && life.startedAt === startedAt ? { ...life, ...fields(life) } : life,
            ),
        );
    }

    function start(place: Place): void {
        if (closed) {
            return;
        }
        const { host, name, daemonAddresses, door } = place;
        const daemon = startSiteDaemon({
            ...place,
            host: name,
            addresses: daemonAddresses,
            advertisedPeer: reachedAt(place, Link.Peer, daemonAddresses[1]),
            store: reachedAt(place, Link.Store, door.address),
            folder,
            logFile: join(folder, `${name}.log`),
        });
        const startedAt = Date.now();
        daemons.update(before => [...before, { host, startedAt, daemon, signals: [] }]);
        void daemon.exited.then(exit => {
            change(startedAt, host, () => ({ exit, endedAt: Date.now() }));
            setTimeout(() => start(place), downMs.get(host) ?? 0);
        });
    }

    function signal(host: number, name: NodeJS.Signals): void {
        const life = livingDaemon(board, host);
        if (life !== undefined) {
            change(life.startedAt, host, ({ signals }) => ({
                signals: [...signals, { name, at: Date.now() }],
            }));
            life.daemon.signal(name);
        }
    }

    const ending = (name: NodeJS.Signals): FaultHandler => ({
        begin: ({ hosts, ms }) =>
            hosts.forEach((host, at) => {
                downMs.set(host, (ms * (at + 1)) / hosts.length);
                signal(host, name);
            }),
    });

    followFaults(board, {
        [FaultKind.StopDaemon]: ending("SIGTERM"),
        [FaultKind.KillDaemon]: ending("SIGKILL"),
        [FaultKind.KillAllDaemons]: ending("SIGKILL"),
        [FaultKind.LosePower]: ending("SIGKILL"),
        [FaultKind.PauseDaemon]: {
            begin: ({ hosts }) => hosts.forEach(host => signal(host, "SIGSTOP")),
            end: ({ hosts }) => hosts.forEach(host => signal(host, "SIGCONT")),
        },
    });
    const killAll = () => places.forEach(({ host }) => signal(host, "SIGKILL"));
    // The backend servers end with the channel to this process; the daemons would stay.
    process.once("exit", killAll);
    places.forEach(start);
    return {
        async close() {
            closed = true;
            process.off("exit", killAll);
            killAll();
            await Promise.all(board.read("daemons").map(({ daemon }) => daemon.exited));
        },
    };
}

/** The process of the host's daemon that runs now. */
export function livingDaemon(board: SoakBoard, host: number): DaemonLife | undefined {
    return board.read("daemons").findLast(life => life.host === host && life.exit === undefined);
}
