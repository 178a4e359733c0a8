import { startLoadGenerator, type LoadGenerator, type RunLedger } from "@tanagertray/standin";
import { request } from "undici";
import type { DemoBoard, DemoHost } from "./board.js";
import { waitUntil } from "./waiting.js";

const ratePerSecond = 200;
const concurrency = 24;
const maxCalls = 6_000;
const maxDurationMs = 30_000;
const drainTimeoutMs = 5_000;
const requestDeadlineMs = 5_000;

export interface Traffic {
    start(): void;
    /** Drains the backend server of a host while calls continue. */
    drain(host: DemoHost, signal: AbortSignal): Promise<void>;
    /** Stops the calls and collects the ledgers. */
    finish(): Promise<void>;
    close(): Promise<void>;
}

/** Sends the calls of the deployment, and writes the `callLedgers` and `runLedgers` sections. */
export function createTraffic(board: DemoBoard): Traffic {
    const callLedgers = board.claimValue("callLedgers");
    const runLedgers = board.claimValue("runLedgers");
    let load: LoadGenerator | undefined;

    return {
        start() {
            const { calls, deployment } = board.read("deployment");
            const hosts = board.read("hosts");
            const plans = calls.map(call => ({
                ...call,
                // Every call may enter at any host, so most calls pass through two daemons.
                daemons: hosts.map(host => `http://${host.calls}`),
            }));
            load = startLoadGenerator({
                name: deployment,
                plans,
                concurrency,
                ratePerSecond,
                maxCalls,
                maxMs: maxDurationMs,
            });
        },
        async drain(host, signal) {
            await requestControl(host, "PUT", { draining: true });
            await waitUntil(`no calls in flight on ${host.host}`, drainTimeoutMs, signal, async () => {
                const { counters } = (await requestControl(host, "GET")) as {
                    counters: { inFlight: number };
                };
                return counters.inFlight === 0;
            });
        },
        async finish() {
            await load?.stop();
            callLedgers.write(load === undefined ? [] : [load.ledger()]);
            const ledgers = await Promise.all(
                board.read("hosts").map(host => requestJson(`${host.backendServer}/ledger`, "GET")),
            );
            runLedgers.write(ledgers as RunLedger[]);
        },
        async close() {
            await load?.stop();
        },
    };
}

function requestControl(host: DemoHost, method: "GET" | "PUT", body?: unknown): Promise<unknown> {
    return requestJson(`${host.backendServer}/control`, method, body);
}

async function requestJson(url: string, method: "GET" | "PUT", body?: unknown): Promise<unknown> {
    const response = await request(url, {
        method,
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        signal: AbortSignal.timeout(requestDeadlineMs),
    });
    return response.body.json();
}
