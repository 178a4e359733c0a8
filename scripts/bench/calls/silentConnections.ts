import { NewConnections, startBackendServer, startRelay, type Relay } from "@tanagertray/standin";
import { setTimeout as sleep } from "node:timers/promises";
import { Pool } from "undici";
import { toFigure, type Benchmark, type BenchmarkOptions, type Figure } from "../figure.js";
import { benchmarkCaller, benchmarkService, startLoopbackHost } from "./loopbackHost.js";

const callsPerSecond = 180;
const deadlineMs = 8_000;
const connections = 128;
const workMs = 20;
/** Concurrent calls before the fault, which leave as many idle connections open. */
const idleConnections = 24;
const warmUpMs = 1_000;
const faultMs = 5_000;
/** Calls that take longer count as affected, in milliseconds. */
const affectedMs = 250;
const key = "benchmark-key";

/** A path from the caller to the backend server through a relay that can go silent. */
interface CallPath {
    readonly relay: Relay;
    call(): Promise<boolean>;
    close(): Promise<void>;
}

interface SilenceMeasures {
    readonly affected: number;
    readonly failed: number;
    /** Time from the start of the silence to the start of the last affected call. */
    readonly movedMs: number;
    readonly longestMs: number;
}

const headers = { "tanagertray-caller": benchmarkCaller, "tanagertray-deadline-ms": String(deadlineMs) };

async function request(pool: Pool, path: string): Promise<boolean> {
    try {
        const signal = AbortSignal.timeout(deadlineMs);
        const response = await pool.request({ method: "GET", path, headers, signal });
        await response.body.dump();
        return response.statusCode === 200;
    } catch {
        return false;
    }
}

/** Opens a path through two daemons with the relay between them. */
async function openProductPath(): Promise<CallPath> {
    const backend = await startBackendServer({ id: "b", service: benchmarkService, faults: { workMs } });
    const local = await startLoopbackHost({ host: "local", key, backendServer: backend.address });
    const entry = await startLoopbackHost({ host: "entry", key });
    const relay = await startRelay({ target: local.peerAddress });
    const records = [{ ...local.record, peerAddress: relay.address }, entry.record];
    [local, entry].forEach(host => host.setRecords(records));
    const pool = new Pool(entry.callsUrl, { connections });
    return {
        relay,
        call: () => request(pool, `/${benchmarkService}/x`),
        async close() {
            relay.cut();
            await pool.destroy();
            await Promise.all([entry.close(), local.close()]);
            await relay.close();
            await backend.close();
        },
    };
}

/** Opens a path through a plain pool of keep-alive connections to the backend server. */
async function openPlainPath(): Promise<CallPath> {
    const backend = await startBackendServer({ id: "b", service: benchmarkService, faults: { workMs } });
    const relay = await startRelay({ target: backend.address });
    const pool = new Pool(`http://${relay.address}`, { connections });
    return {
        relay,
        call: () => request(pool, "/x"),
        async close() {
            relay.cut();
            await pool.destroy();
            await relay.close();
            await backend.close();
        },
    };
}

async function measure(openPath: () => Promise<CallPath>): Promise<SilenceMeasures> {
    const path = await openPath();
    const calls: { startedAt: number; durationMs: number; ok: boolean }[] = [];
    const call = async () => {
        const startedAt = performance.now();
        const ok = await path.call();
        calls.push({ startedAt, durationMs: performance.now() - startedAt, ok });
    };
    const load = async (ms: number) => {
        const pending: Promise<void>[] = [];
        const begin = performance.now();
        for (let count = 0; performance.now() - begin < ms; count += 1) {
            pending.push(call());
            await sleep(Math.max(0, begin + ((count + 1) * 1_000) / callsPerSecond - performance.now()));
        }
        return pending;
    };
    await sleep(100);
    await Promise.all(Array.from({ length: idleConnections }, call));
    await Promise.all(await load(warmUpMs));
    await Promise.all(Array.from({ length: idleConnections }, call));
    calls.splice(0);
    path.relay.silence({ newConnections: NewConnections.Pass });
    const silentAt = performance.now();
    await Promise.all(await load(faultMs));
    await path.close();
    const affected = calls.filter(({ durationMs, ok }) => durationMs > affectedMs || !ok);
    return {
        affected: affected.length,
        failed: calls.filter(({ ok }) => !ok).length,
        movedMs: Math.max(0, ...affected.map(({ startedAt }) => startedAt - silentAt)),
        longestMs: Math.max(...calls.map(({ durationMs }) => durationMs)),
    };
}

const units: Readonly<Record<keyof SilenceMeasures, string>> = {
    affected: "calls",
    failed: "calls",
    movedMs: "ms",
    longestMs: "ms",
};

async function run({ seed, runs }: BenchmarkOptions): Promise<readonly Figure[]> {
    const product: SilenceMeasures[] = [];
    const plain: SilenceMeasures[] = [];
    for (let round = 0; round < runs; round += 1) {
        product.push(await measure(openProductPath));
        plain.push(await measure(openPlainPath));
    }
    return (Object.keys(units) as (keyof SilenceMeasures)[]).map(name =>
        toFigure({
            name: `silentConnections.${name}`,
            unit: units[name],
            values: product.map(silence => silence[name]),
            baselines: plain.map(silence => silence[name]),
            seed,
            runs,
        }),
    );
}

export const silentConnections: Benchmark = {
    summary: "calls hit by connections that go silent, against a plain pool of kept-alive connections",
    run,
};
