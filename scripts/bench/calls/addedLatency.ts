import { fork, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { Pool } from "undici";
import { percentile, toFigure, type Benchmark, type BenchmarkOptions, type Figure } from "../figure.js";
import { benchmarkCaller, benchmarkService } from "./loopbackHost.js";
import type { ProcessRequest, ProcessStarted } from "./loopbackProcess.js";

const callsPerSecond = 180;
const roundMs = 3_000;
const warmUpRounds = 1;
const connections = 16;
const settleMs = 200;
/** Target for the latency that both daemons add to a call at p99, in milliseconds (design 1.6). */
const targetAddedMs = 1.7;

const CallPath = { Direct: "direct", OneDaemon: "oneDaemon", TwoDaemons: "twoDaemons" } as const;
type CallPath = (typeof CallPath)[keyof typeof CallPath];

interface BenchmarkProcess {
    readonly child: ChildProcess;
    readonly started: ProcessStarted;
}

interface BenchmarkProcesses {
    readonly entry: BenchmarkProcess;
    readonly local: BenchmarkProcess;
    readonly backend: BenchmarkProcess;
}

const program = new URL("./loopbackProcess.js", import.meta.url);

async function startProcess(...args: readonly string[]): Promise<BenchmarkProcess> {
    const child = fork(program, [...args], {
        env: { ...process.env, TANAGERTRAY_BENCH_KEY: "benchmark-key" },
    });
    const [started] = (await once(child, "message")) as [ProcessStarted];
    return { child, started };
}

const sendRequest = ({ child }: BenchmarkProcess, request: ProcessRequest) => child.send(request);

async function cpuMicros(target: BenchmarkProcess): Promise<number> {
    sendRequest(target, { ask: "cpu" });
    const [answer] = (await once(target.child, "message")) as [{ cpuMicros: number }];
    return answer.cpuMicros;
}

async function startProcesses(): Promise<BenchmarkProcesses> {
    const backend = await startProcess("backend");
    const local = await startProcess("daemon", "local", backend.started.address);
    const entry = await startProcess("daemon", "entry");
    const records = [local, entry].flatMap(({ started }) => started.record ?? []);
    [local, entry].forEach(target => sendRequest(target, { ask: "records", records }));
    await sleep(settleMs);
    return { entry, local, backend };
}

const urls = {
    [CallPath.Direct]: ({ backend }) => [backend.started.callsUrl, "/x"],
    [CallPath.OneDaemon]: ({ local }) => [local.started.callsUrl, `/${benchmarkService}/x`],
    [CallPath.TwoDaemons]: ({ entry }) => [entry.started.callsUrl, `/${benchmarkService}/x`],
} satisfies Record<CallPath, (processes: BenchmarkProcesses) => readonly [string, string]>;
const callPaths = Object.values(CallPath);

type Latencies = Record<CallPath, number[]>;

/** Runs one round. Calls alternate between the three paths, so that disturbances affect all paths alike. */
async function measureRound(
    pools: Record<CallPath, Pool>,
    processes: BenchmarkProcesses,
): Promise<Latencies> {
    const times: Latencies = { [CallPath.Direct]: [], [CallPath.OneDaemon]: [], [CallPath.TwoDaemons]: [] };
    const headers = { "tanagertray-caller": benchmarkCaller };
    const call = async (callPath: CallPath): Promise<void> => {
        const path = urls[callPath](processes)[1];
        const begin = performance.now();
        const response = await pools[callPath].request({ method: "GET", path, headers });
        await response.body.dump();
        if (response.statusCode !== 200) {
            throw new Error(
                `a call over path ${callPath} got status ${response.statusCode} ${JSON.stringify(response.headers)}`,
            );
        }
        times[callPath].push(performance.now() - begin);
    };
    const calls: Promise<void>[] = [];
    const begin = performance.now();
    // Each path gets the full call rate.
    const stepMs = 1_000 / (callsPerSecond * callPaths.length);
    for (let count = 0; count * stepMs < roundMs * callPaths.length; count += 1) {
        calls.push(call(callPaths[count % callPaths.length] as CallPath));
        await sleep(Math.max(0, begin + (count + 1) * stepMs - performance.now()));
    }
    await Promise.all(calls);
    return times;
}

async function run({ seed, runs }: BenchmarkOptions): Promise<readonly Figure[]> {
    const processes = await startProcesses();
    const pools = Object.fromEntries(
        callPaths.map(callPath => [callPath, new Pool(urls[callPath](processes)[0], { connections })]),
    ) as Record<CallPath, Pool>;
    try {
        for (let round = 0; round < warmUpRounds; round += 1) {
            await measureRound(pools, processes);
        }
        const daemons = [processes.entry, processes.local];
        const before = await Promise.all(daemons.map(cpuMicros));
        const rounds: Latencies[] = [];
        for (let round = 0; round < runs; round += 1) {
            rounds.push(await measureRound(pools, processes));
        }
        const after = await Promise.all(daemons.map(cpuMicros));
        const cpuSpent = after.map((micros, index) => micros - (before[index] as number));
        return toFigures(rounds, cpuSpent, { seed, runs });
    } finally {
        await Promise.all(Object.values(pools).map(pool => pool.close()));
        Object.values(processes).forEach((target: BenchmarkProcess) => sendRequest(target, { ask: "close" }));
    }
}

function toFigures(rounds: readonly Latencies[], cpuSpent: readonly number[], options: BenchmarkOptions) {
    const percentilesOf = (callPath: CallPath, share: number) =>
        rounds.map(times => percentile(times[callPath], share));
    const percentiles = { p50: 0.5, p99: 0.99 };
    const figure = (name: string, unit: string, values: readonly number[], baselines?: readonly number[]) =>
        toFigure({
            name: `addedLatency.${name}`,
            unit,
            values,
            ...(baselines === undefined ? {} : { baselines }),
            ...options,
        });
    const added = (callPath: CallPath, share: number) =>
        percentilesOf(callPath, share).map(
            (value, index) => value - (percentilesOf(CallPath.Direct, share)[index] as number),
        );
    const count = (callPath: CallPath) => rounds.reduce((sum, times) => sum + times[callPath].length, 0);
    const [entryMicros = 0, localMicros = 0] = cpuSpent;
    return [
        ...Object.entries(percentiles).flatMap(([percentileName, share]) => [
            ...callPaths.map(callPath =>
                figure(
                    `${callPath}.${percentileName}`,
                    "ms",
                    percentilesOf(callPath, share),
                    percentilesOf(CallPath.Direct, share),
                ),
            ),
            figure(`oneDaemon.added.${percentileName}`, "ms", added(CallPath.OneDaemon, share)),
            figure(`twoDaemons.added.${percentileName}`, "ms", added(CallPath.TwoDaemons, share), [
                targetAddedMs,
            ]),
        ]),
        figure("entry.cpuPerCall", "microseconds", [entryMicros / count(CallPath.TwoDaemons)]),
        // The local daemon handles the calls of both paths.
        figure("local.cpuPerCall", "microseconds", [
            localMicros / (count(CallPath.OneDaemon) + count(CallPath.TwoDaemons)),
        ]),
    ];
}

export const addedLatency: Benchmark = {
    summary: "latency that one daemon and two daemons add to a call at 180 calls a second",
    run,
};
