import { mkdirSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { createSoakBoard, Phase, type Finding, type SoakBoard } from "./board.js";
import { createChecker, type Checker } from "./checker.js";
import { CheckKind } from "./checks.js";
import { createClients } from "./clients.js";
import { createConnections } from "./connections.js";
import { createDaemons, runningDaemon } from "./daemons.js";
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
    /** Calls that reached a backend server long after their callers had disconnected. */
    readonly lateRuns: readonly Finding[];
    /** Time from the end of the faults until every service responded, in milliseconds. */
    readonly recoveryMs: number;
    readonly folder: string;
}

/** Timeout for all processes to start and serve calls, in milliseconds. */
const startTimeoutMs = 20_000;
/** Timeout for every service to respond after the faults, in milliseconds. */
const recoveryTimeoutMs = 15_000;
/** Timeout for stopped processes to exit and their successors to start, in milliseconds. */
const restartTimeoutMs = 12_000;
/** Wait after the last call for late runs of refused calls, in milliseconds. */
const lateRunWaitMs = 1_500;

/** Runs the soak for one seed. Removes the folder of a seed without findings. */
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
    const checker = createChecker(board);
    createStoreFaults(board, site);
    createConnections(board, site);
    const processes = [createDaemons(board, site, folder), createServers(board, site, schedule.capacity)];
    const clients = createClients(board, site, resolved.seed);
    async function callUntilServed(timeoutMs: number): Promise<number> {
        const { ms, unserved } = await clients.callUntilServed(timeoutMs);
        unserved.forEach(name =>
            checker.report(CheckKind.RecoversAfterFaults, name, `not served within ${timeoutMs} ms`),
        );
        return ms;
    }

    let recoveryMs = 0;
    try {
        await callUntilServed(startTimeoutMs);
        phase.write(Phase.Faults);
        await playFaults(board, schedule.faults, resolved.seconds);
        if (!(await waitForRestarts(board, site))) {
            checker.report(
                CheckKind.RecoversAfterFaults,
                "processes",
                `not all were running again within ${restartTimeoutMs} ms`,
            );
        }
        phase.write(Phase.Healed);
        recoveryMs = await callUntilServed(recoveryTimeoutMs);
        phase.write(Phase.Done);
        await clients.close();
        await sleep(lateRunWaitMs);
    } finally {
        phase.write(Phase.Done);
        await Promise.all(processes.map(({ close }) => close()));
        await site.close();
    }
    const findings = board.read("findings");
    if (findings.length === 0) {
        rmSync(folder, { recursive: true });
    } else {
        writeRecords(folder, board, checker);
    }
    const calls = [...checker.calls.values()];
    const served = calls.filter(({ status, isOwn }) => status === 200 && isOwn).length;
    const { runs, lateRuns } = checker;
    return { findings, calls: calls.length, served, runs: runs.size, lateRuns, recoveryMs, folder };
}

/** Waits until every host has running processes of which none is stopping. Resolves with `false` after the timeout. */
async function waitForRestarts(board: SoakBoard, { siteHosts }: Site): Promise<boolean> {
    const isRunning = (host: number) =>
        runningDaemon(board, host)?.signals.every(({ name }) => name !== "SIGTERM") === true &&
        board
            .read("servers")
            .some(server => server.host === host && !server.hasEnded && server.leftAt === undefined);
    const deadline = performance.now() + restartTimeoutMs;
    while (!siteHosts.every(({ host }) => isRunning(host)) && performance.now() < deadline) {
        await sleep(50);
    }
    return siteHosts.every(({ host }) => isRunning(host));
}

function writeRecords(folder: string, board: SoakBoard, { calls, runs }: Checker): void {
    const lines = (values: Iterable<unknown>) => [...values].map(value => JSON.stringify(value)).join("\n");
    writeFileSync(join(folder, "calls.jsonl"), lines(calls.values()));
    writeFileSync(join(folder, "runs.jsonl"), lines([...runs.values()].flat()));
    const processes = [...board.read("daemons"), ...board.read("servers")];
    writeFileSync(
        join(folder, "processes.jsonl"),
        lines(processes.map(record => ({ ...record, process: undefined, daemon: undefined }))),
    );
    writeFileSync(join(folder, "findings.txt"), lines(board.read("findings")));
}
