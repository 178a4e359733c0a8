import { startBackendServer, type StandInBackendServer } from "@tanagertray/standin";
import assert from "node:assert/strict";
import { request, type Agent, type ClientRequest } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { startHostProcesses, type HostProcess, type HostProcesses } from "./hostProcesses.js";

/** State of a scenario whose clients leave before they are answered. */
export interface World {
    clientProcesses?: HostProcesses;
    server?: StandInBackendServer;
    /** Time at which each client closed its connection, by call id. */
    clientLeftAt: Map<string, number>;
    /** Status that the last client received. */
    status: number;
    /** Statuses that the patient clients received. */
    statuses: readonly number[];
    /** Number of calls that were served in a period. */
    servedCount: number;
}

export const scenarioMs = 40_000;
const startMs = 15_000;
const pollMs = 25;
/**
 * Module that makes the turns of the event loop busy for a while after SIGUSR2, as they are in a process that has just
 * started. A listener accepts one connection in each turn, so concurrent connections wait long.
 */
function busyTurnsModule(turnMs: number, busyMs: number): string {
    const script = `process.on("SIGUSR2", () => {
        const end = Date.now() + ${busyMs};
        const turn = () => {
            const until = Date.now() + ${turnMs};
            while (Date.now() < until);
            if (until < end) setImmediate(turn);
        };
        turn();
    });`;
    return `data:text/javascript,${encodeURIComponent(script)}`;
}

export function hostNamed({ clientProcesses }: World, name: string): HostProcess {
    return clientProcesses?.hosts.find(host => host.name === name) as HostProcess;
}

export interface ClientCall {
    readonly id: string;
    readonly deadlineMs: number;
    readonly leavesAfterMs: number;
    /** @default a new connection */
    readonly agent?: Agent;
    /**
     * Size of the request body; a call with a body goes to the service of the uploads.
     * @default a read without a body
     */
    readonly bodyBytes?: number | undefined;
}

/** Makes a call whose client closes its connection after `leavesAfterMs`. Resolves to the status, or 0 without one. */
export function call(
    world: World,
    entry: HostProcess,
    { id, deadlineMs, leavesAfterMs, agent, bodyBytes }: ClientCall,
) {
    return new Promise<number>(resolve => {
        const headers = {
            "tanagertray-caller": "site-desk",
            "tanagertray-call-id": id,
            "tanagertray-deadline-ms": String(deadlineMs),
            "x-ledger-id": id,
            ...(bodyBytes === undefined ? {} : { "content-length": String(bodyBytes) }),
        };
        const path = bodyBytes === undefined ? "/stock/items/7" : "/plan-uploads/sites/7/plans";
        const sent = request(`http://${entry.callsAddress}${path}`, {
            method: bodyBytes === undefined ? "GET" : "POST",
            agent: agent ?? false,
            headers,
        });
        sent.on("error", () => resolve(0));
        sent.on("response", response => {
            clearTimeout(timer);
            response.resume().on("close", () => resolve(response.statusCode ?? 0));
        });
        const timer = setTimeout(() => {
            world.clientLeftAt.set(id, Date.now());
            sent.destroy();
        }, leavesAfterMs);
        void sendBody(sent, bodyBytes);
    });
}

/** Parts in which a body is sent, as over a network, and the time between them, in milliseconds. */
const bodyParts = { count: 6, intervalMs: 10 };

async function sendBody(sent: ClientRequest, bytes = 0): Promise<void> {
    for (let part = 0; part < bodyParts.count && bytes > 0; part += 1) {
        sent.write(Buffer.alloc(bytes / bodyParts.count));
        await sleep(bodyParts.intervalMs);
    }
    sent.end();
}

export const patientClient = { deadlineMs: 5_000, leavesAfterMs: 5_000 };

export interface BusyDeployment {
    readonly hostNames: string;
    readonly busyMs: number;
    readonly turnMs: number;
    readonly slots: number;
    /** Host of the backend server. */
    readonly serverHost: string;
    /**
     * Size of the request bodies that the backend server takes.
     * @default it serves reads
     */
    readonly bodyBytes?: number;
}

/** Enough slots that no call waits for one. */
export const manySlots = 100;

export async function startBusyDeployment(
    world: World,
    { hostNames, busyMs, turnMs, slots, serverHost, bodyBytes }: BusyDeployment,
): Promise<void> {
    const nodeArguments = ["--import", busyTurnsModule(turnMs, busyMs)];
    world.clientProcesses = await startHostProcesses(hostNames.split(","), "eager", { nodeArguments });
    world.clientLeftAt = new Map();
    const [entry] = world.clientProcesses.hosts as [HostProcess];
    const end = performance.now() + startMs;
    while ((await entry.sample()) === undefined && performance.now() < end) {
        await sleep(pollMs);
    }
    await entry.accept("playground/kuasa/answers.jsonc");
    const daemon = {
        url: `http://${hostNamed(world, serverHost).adminAddress}`,
        token: "backend-token-0001",
    };
    const service = bodyBytes === undefined ? "stock" : "plan-uploads";
    world.server = await startBackendServer({ id: "s1", service, slots, daemon });
    while ((await call(world, entry, { id: "first", ...patientClient, bodyBytes })) !== 200) {
        assert.ok(performance.now() < end, "no call was served");
        await sleep(pollMs);
    }
}
