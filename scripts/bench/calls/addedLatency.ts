import { fork, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { Pool } from "undici";
import { percentile, toFigure, type Benchmark, type BenchmarkOptions, type Figure } from "../figure.js";
import { benchmarkCaller, benchmarkService } from "./loopbackHost.js";
import type { PartRequest, PartStarted } from "./loopbackProcess.js";

const callsPerSecond = 180;
const roundMs = 3_000;
const warmUpRounds = 1;
const connections = 16;
const settleMs = 200;
/** Time that the whole path may add to a call at p99, in milliseconds (design 1.6). */
const targetMs = 1.7;

const Way = { Direct: "direct", OneDaemon: "oneDaemon", TwoDaemons: "twoDaemons" } as const;
type Way = (typeof Way)[keyof typeof Way];

interface Part {
    readonly child: ChildProcess;
    readonly started: PartStarted;
}

interface Parts {
    readonly entry: Part;
    readonly local: Part;
    readonly backend: Part;
}

const program = new URL("./loopbackProcess.js", import.meta.url);

async function startPart(...args: readonly string[]): Promise<Part> {
    const child = fork(program, [...args], {
        env: { ...process.env, TANAGERTRAY_BENCH_KEY: "benchmark-key" },
    });
    const [started] = (await once(child, "message")) as [PartStarted];
    return { child, started };
}

const tell = ({ child }: Part, request: PartRequest) => child.send(request);

async function cpuMicros(part: Part): Promise<number> {
    tell(part, { ask: "cpu" });
    const [answer] = (await once(part.child, "message")) as [{ cpuMicros: number }];
    return answer.cpuMicros;
}

async function startParts(): Promise<Parts> {
    const backend = await startPart("backend");
    const local = await startPart("daemon", "local", backend.started.address);
    const entry = await startPart("daemon", "entry");
    const records = [local, entry].flatMap(({ started }) => started.record ?? []);
    [local, entry].forEach(part => tell(part, { ask: "records", records }));
    await sleep(settleMs);
    return { entry, local, backend };
}

const urls = {
    [Way.Direct]: ({ backend }) => [backend.started.callsUrl, "/x"],
    [Way.OneDaemon]: ({ local }) => [local.started.callsUrl, `/${benchmarkService}/x`],
    [Way.TwoDaemons]: ({ entry }) => [entry.started.callsUrl, `/${benchmarkService}/x`],
} satisfies Record<Way, (parts: Parts) => readonly [string, string]>;
const ways = Object.values(Way);

type Times = Record<Way, number[]>;

/** One round: the three ways in turn, call by call, so that a disturbance hits them alike. */
async function measureRound(pools: Record<Way, Pool>, parts: Parts): Promise<Times> {
    const times: Times = { [Way.Direct]: [], [Way.OneDaemon]: [], [Way.TwoDaemons]: [] };
    const headers = { "tanagertray-caller": benchmarkCaller };
    const call = async (way: Way): Promise<void> => {
        const path = urls[way](parts)[1];
        const begin = performance.now();
        const response = await pools[way].request({ method: "GET", path, headers });
        await response.body.dump();
        if (response.statusCode !== 200) {
            throw new Error(
                `a call by ${way} was answered with ${response.statusCode} ${JSON.stringify(response.headers)}`,
            );
        }
        times[way].push(performance.now() - begin);
    };
    const calls: Promise<void>[] = [];
    const begin = performance.now();
    // Each way gets the full rate.
    const stepMs = 1_000 / (callsPerSecond * ways.length);
    for (let count = 0; count * stepMs < roundMs * ways.length; count += 1) {
        calls.push(call(ways[count % ways.length] as Way));
        await sleep(Math.max(0, begin + (count + 1) * stepMs - performance.now()));
    }
    await Promise.all(calls);
    return times;
}

async function run({ seed, runs }: BenchmarkOptions): Promise<readonly Figure[]> {
    const parts = await startParts();
    const pools = Object.fromEntries(
        ways.map(way => [way, new Pool(urls[way](parts)[0], { connections })]),
    ) as Record<Way, Pool>;
    try {
        for (let round = 0; round < warmUpRounds; round += 1) {
            await measureRound(pools, parts);
        }
        const daemons = [parts.entry, parts.local];
        const before = await Promise.all(daemons.map(cpuMicros));
        const rounds: Times[] = [];
        for (let round = 0; round < runs; round += 1) {
            rounds.push(await measureRound(pools, parts));
        }
        const after = await Promise.all(daemons.map(cpuMicros));
        const spent = after.map((micros, index) => micros - (before[index] as number));
        return toFigures(rounds, spent, { seed, runs });
    } finally {
        await Promise.all(Object.values(pools).map(pool => pool.close()));
        Object.values(parts).forEach((part: Part) => tell(part, { ask: "close" }));
    }
}

function toFigures(rounds: readonly Times[], spent: readonly number[], options: BenchmarkOptions) {
    const at = (way: Way, share: number) => rounds.map(times => percentile(times[way], share));
    const points = { p50: 0.5, p99: 0.99 };
    const figure = (name: string, unit: string, values: readonly number[], baselines?: readonly number[]) =>
        toFigure({
            name: `addedLatency.${name}`,
            unit,
            values,
            ...(baselines === undefined ? {} : { baselines }),
            ...options,
        });
    const added = (way: Way, share: number) =>
        at(way, share).map((value, index) => value - (at(Way.Direct, share)[index] as number));
    const count = (way: Way) => rounds.reduce((sum, times) => sum + times[way].length, 0);
    const [entrySpent = 0, localSpent = 0] = spent;
    return [
        ...Object.entries(points).flatMap(([point, share]) => [
            ...ways.map(way => figure(`${way}.${point}`, "ms", at(way, share), at(Way.Direct, share))),
            figure(`oneDaemon.added.${point}`, "ms", added(Way.OneDaemon, share)),
            figure(`twoDaemons.added.${point}`, "ms", added(Way.TwoDaemons, share), [targetMs]),
        ]),
        figure("entry.cpuPerCall", "microseconds", [entrySpent / count(Way.TwoDaemons)]),
        // The local daemon carries the calls of both ways.
        figure("local.cpuPerCall", "microseconds", [
            localSpent / (count(Way.OneDaemon) + count(Way.TwoDaemons)),
        ]),
    ];
}

export const addedLatency: Benchmark = {
    summary: "latency that one daemon and two daemons add to a call at 180 calls a second",
    run,
};
