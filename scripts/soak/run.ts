import { mkdirSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { createSoakBoard, Phase, type Finding, type SoakBoard } from "./board.js";
import { createChecking, type Checking } from "./checking.js";
import { CheckKind } from "./checks.js";
import { createClients } from "./clients.js";
import { createConnections } from "./connections.js";
import { createDaemons, livingDaemon } from "./daemons.js";
import { resolveSoakOptions, type SoakOptions } from "./options.js";
import { createSchedule, formatSchedule } from "./schedule.js";
import { createServers } from "./servers.js";
import { createSite, type Site } from "./site.js";
import { createStoreFaults } from "./store.js";
import { playFaults } from "./timeline.js";

export interface SoakResult {
    readonly findings: readonly Finding[];
    readonly calls: number;
    readonly served: number;
    readonly runs: number;
    /** Calls that reached a backend server long after their callers had left. */
    readonly gone: readonly Finding[];
    /** Time after the faults until all was served, in milliseconds. */
    readonly servedAgainMs: number;
    readonly folder: string;
}

/** Time for all processes to start and to serve, in milliseconds. */
const startMs = 20_000;
/** Time in which all is served again after the faults, in milliseconds. */
const servedAgainLimitMs = 15_000;
/** Longest time until processes that were asked to stop have ended and the next have started, in milliseconds. */
const restartedMs = 12_000;
/** Time in which a call that was refused could still run, in milliseconds. */
const afterwardsMs = 1_500;

/** Plays one seed. The folder of a seed without findings is removed. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    const resolved = resolveSoakOptions(options);
    const folder = join(resolved.folder, `seed-${resolved.seed}`);
    rmSync(folder, { recursive: true, force: true });
    mkdirSync(folder, { recursive: true });
    const schedule = createSchedule(resolved);
    writeFileSync(join(folder, "schedule.txt"), formatSchedule(schedule));
    const board = createSoakBoard();
    const phase = board.claimValue("phase");
    const site = await createSite(resolved, schedule.relayed);
    const checking = createChecking(board);
    createStoreFaults(board, site);
    createConnections(board, site);
    const processes = [createDaemons(board, site, folder), createServers(board, site, schedule.capacity)];
    const clients = createClients(board, site, resolved.seed);
    async function serveAll(limitMs: number): Promise<number> {
        const { ms, unserved } = await clients.serveAll(limitMs);
        unserved.forEach(name =>
            checking.report(CheckKind.ServedAgain, name, `not served within ${limitMs} ms`),
        );
        return ms;
    }

    let servedAgainMs = 0;
    try {
        await serveAll(startMs);
        phase.write(Phase.Faults);
        await playFaults(board, schedule.faults, resolved.seconds);
        if (!(await untilRestarted(board, site))) {
            checking.report(CheckKind.ServedAgain, "processes", `not all ran again within ${restartedMs} ms`);
        }
        phase.write(Phase.Healed);
        servedAgainMs = await serveAll(servedAgainLimitMs);
        phase.write(Phase.Done);
        await clients.close();
        await sleep(afterwardsMs);
    } finally {
        phase.write(Phase.Done);
        await Promise.all(processes.map(({ close }) => close()));
        await site.close();
    }
    const findings = board.read("findings");
    if (findings.length === 0) {
        rmSync(folder, { recursive: true });
    } else {
        writeRecords(folder, board, checking);
    }
    const calls = [...checking.calls.values()];
    const served = calls.filter(({ status, isOwn }) => status === 200 && isOwn).length;
    const { runs, gone } = checking;
    return { findings, calls: calls.length, served, runs: runs.size, gone, servedAgainMs, folder };
}

/** Waits until every host has its processes, and none of them was asked to stop; `false` if that takes too long. */
async function untilRestarted(board: SoakBoard, { places }: Site): Promise<boolean> {
    const isRunning = (host: number) =>
        livingDaemon(board, host)?.signals.every(({ name }) => name !== "SIGTERM") === true &&
        board.read("servers").some(life => life.host === host && !life.hasEnded && life.leftAt === undefined);
    const limit = performance.now() + restartedMs;
    while (!places.every(({ host }) => isRunning(host)) && performance.now() < limit) {
        await sleep(50);
    }
    return places.every(({ host }) => isRunning(host));
}

function writeRecords(folder: string, board: SoakBoard, { calls, runs }: Checking): void {
    const lines = (values: Iterable<unknown>) => [...values].map(value => JSON.stringify(value)).join("\n");
    writeFileSync(join(folder, "calls.jsonl"), lines(calls.values()));
    writeFileSync(join(folder, "runs.jsonl"), lines([...runs.values()].flat()));
    const lives = [...board.read("daemons"), ...board.read("servers")];
    writeFileSync(
        join(folder, "processes.jsonl"),
        lines(lives.map(life => ({ ...life, process: undefined, daemon: undefined }))),
    );
    writeFileSync(join(folder, "findings.txt"), lines(board.read("findings")));
}
