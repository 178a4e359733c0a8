import type { SiteServerCommand, SiteServerReport } from "@tanagertray/standin/siteServerMain";
import { createStallMonitor } from "@tanagertray/standin";
import { fork, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import type { ServerLife, SoakBoard } from "./board.js";
import type { Processes } from "./daemons.js";
import { followFaults, Link } from "./faults.js";
import type { Capacity } from "./schedule.js";
import { createServerFaults } from "./serverFaults.js";
import { reachedAt, type Place, type Site } from "./site.js";

const program = "packages/standin/dist/siteServerMain.js";

/** Runs the backend server of each host, and replaces it when it has ended. */
export function createServers(board: SoakBoard, { places }: Site, capacity: Capacity): Processes {
    const servers = board.claimValue("servers");
    const runs = board.claimFeed("runs");
    /** What the next process of a host uses. */
    const next = new Map<number, { readonly downMs: number; readonly id?: string }>();
    /** Host whose address the backend server of a host has. */
    const addresses = new Map(places.map(({ host }) => [host, host]));
    const stalls = createStallMonitor();
    let count = 0;
    let closed = false;

    function change(process: ServerLife["process"], fields: Partial<ServerLife>): void {
        servers.update(before =>
            before.map(life => (life.process === process ? { ...life, ...fields } : life)),
        );
    }

    function start(place: Place): void {
        if (closed) {
            return;
        }
        const { host, service } = place;
        const at = places[addresses.get(host) ?? host] as Place;
        const life = (count += 1);
        const id = next.get(host)?.id ?? `i-${host}-${life}`;
        const process = forkServer(place, { at, id, capacity });
        const added = { life, host, id, service, process, signals: [], hasEnded: false, isLeaving: false };
        servers.update(before => [...before, added]);
        next.delete(host);
        const whence = { life, host, addressHost: at.host, server: id, service };
        const isRelayed = at.relays.size + place.relays.size > 0;
        const reports = {
            started: () => {},
            run: ({ event: _event, ...run }) =>
                runs.append({ ...run, ...whence, relaysStalledMs: isRelayed ? stalls.recentMs() : 0 }),
            acknowledged: ({ status, at: leftAt }) => {
                const now = board.read("servers").find(other => other.process === process);
                if (status === 200 && now?.isLeaving === true && now.leftAt === undefined) {
                    change(process, { leftAt });
                }
            },
        } satisfies { [E in SiteServerReport["event"]]: (report: SiteServerReport & { event: E }) => void };
        process.on("message", (report: SiteServerReport) => reports[report.event](report as never));
        process.once("exit", () => {
            change(process, { hasEnded: true });
            setTimeout(() => start(place), next.get(host)?.downMs ?? 0);
        });
    }

    const living = (host: number) =>
        board.read("servers").findLast(life => life.host === host && !life.hasEnded);

    function signal(host: number, name: NodeJS.Signals): void {
        const life = living(host);
        if (life !== undefined) {
            change(life.process, { signals: [...life.signals, { name, at: Date.now() }] });
            life.process.kill(name);
        }
    }

    function send(host: number, command: SiteServerCommand): void {
        const life = living(host);
        if (life?.process.connected === true) {
            const isLeaving = life.isLeaving || command.command !== "setMode";
            change(life.process, { isLeaving });
            life.process.send(command, () => {});
        }
    }

    followFaults(
        board,
        createServerFaults({
            living,
            signal,
            send,
            replace: (fault, name, keepsId = false) =>
                fault.hosts.forEach((host, at) => {
                    const id = keepsId ? living(host)?.id : undefined;
                    const downMs = (fault.ms * (at + 1)) / fault.hosts.length;
                    next.set(host, { downMs, ...(id === undefined ? {} : { id }) });
                    signal(host, name);
                }),
            swapAddresses(first, second) {
                const [ofFirst = first, ofSecond = second] = [addresses.get(first), addresses.get(second)];
                addresses.set(first, ofSecond).set(second, ofFirst);
            },
        }),
    );
    places.forEach(start);
    return {
        async close() {
            closed = true;
            stalls.close();
            const alive = board.read("servers").filter(({ hasEnded }) => !hasEnded);
            await Promise.all(
                alive.map(({ process }) => {
                    const exited = once(process, "exit");
                    process.kill("SIGKILL");
                    return exited;
                }),
            );
        },
    };
}

/** Starts a backend server of one host at the address of the same or another one. */
function forkServer(
    { service, daemonAddresses }: Place,
    { at, id, capacity }: { readonly at: Place; readonly id: string; readonly capacity: Capacity },
): ChildProcess {
    const announced = reachedAt(at, Link.Server, `127.0.0.1:${at.serverPort}`);
    return fork(program, [
        ...["--id", id, "--service", service, "--daemon", daemonAddresses[3], "--checks-instance"],
        ...["--port", String(at.serverPort), "--announced", announced],
        ...["--work-ms", String(capacity.workMs), "--slots", String(capacity.slots)],
    ]);
}
