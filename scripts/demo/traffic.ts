import { startLoadGenerator, type LoadGenerator, type RunLedger } from "@tanagertray/standin";
import { request } from "undici";
import type { DemoBoard, DemoHost } from "./board.js";
import { waitUntil } from "./waiting.js";

const ratePerSecond = 200;
const concurrency = 24;
const maxCalls = 6_000;
const maxMs = 30_000;
const drainTimeoutMs = 5_000;
const requestDeadlineMs = 5_000;

export interface Traffic {
    start(): void;
    /** Lets the backend server of a host leave while calls go on. */
    drain(host: DemoHost, signal: AbortSignal): Promise<void>;
    /** Stops the calls and collects the ledgers. */
    finish(): Promise<void>;
    close(): Promise<void>;
}

/** Sends the calls of the deployment. Writes `callLedgers` and `runLedgers`. */
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
                // Any host takes any call, so that most calls pass through two daemons.
                daemons: hosts.map(host => `http://${host.calls}`),
            }));
            load = startLoadGenerator({
                name: deployment,
                plans,
                concurrency,
                ratePerSecond,
                maxCalls,
                maxMs,
            });
        },
        async drain(host, signal) {
            await sendControl(host, "PUT", { draining: true });
            await waitUntil(`no call on ${host.host}`, drainTimeoutMs, signal, async () => {
                const { counters } = (await sendControl(host, "GET")) as { counters: { inFlight: number } };
                return counters.inFlight === 0;
            });
        },
        async finish() {
            await load?.stop();
            callLedgers.write(load === undefined ? [] : [load.ledger()]);
            const ledgers = await Promise.all(
                board.read("hosts").map(host => send(`${host.backendServer}/ledger`, "GET")),
            );
            runLedgers.write(ledgers as RunLedger[]);
        },
        async close() {
            await load?.stop();
        },
    };
}

function sendControl(host: DemoHost, method: "GET" | "PUT", faults?: unknown): Promise<unknown> {
    return send(`${host.backendServer}/control`, method, faults);
}

async function send(url: string, method: "GET" | "PUT", body?: unknown): Promise<unknown> {
    const response = await request(url, {
        method,
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        signal: AbortSignal.timeout(requestDeadlineMs),
    });
    return response.body.json();
}
