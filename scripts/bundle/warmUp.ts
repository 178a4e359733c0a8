import { createOperatorRow, siteHostName, startMetadataStore, startSiteServer } from "@tanagertray/standin";
import { randomUUID } from "node:crypto";
import { Agent, request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

const services = ["s1", "s2"];
const kinds = ["safe", "unsafe", "upload"];
/** Number of routes that get no calls, so that versions are as large as in a small deployment. */
const idleRoutes = 100;
const readyDeadlineMs = 10_000;
/** Time between two questions whether a daemon is ready, and after each change of the configuration, in milliseconds. */
const pauseMs = 200;
const callsPerRoute = 40;
/** Sizes of the request bodies: without one, in the first packets, and in the body window. */
const bodySizes = [0, 2_000, 60_000];

/** Addresses of one daemon, as in its settings. */
export interface WarmUpDaemon {
    readonly calls: string;
    readonly announcements: string;
    readonly readiness: string;
}

export interface WarmUpOptions {
    /** Starts a daemon that uses the store at the address. */
    readonly startDaemon: (index: number, store: string) => WarmUpDaemon;
    readonly daemons: number;
}

/**
 * Runs daemons as in a deployment: a version, backend servers, links, calls over one and two daemons, and two further
 * versions. V8 then has compiled what they need to serve, not only what they need to start.
 */
export async function warmUp({ startDaemon, daemons: count }: WarmUpOptions): Promise<void> {
    const store = await startMetadataStore();
    const accept = (version: number) =>
        store.put(
            "op",
            "config",
            createOperatorRow({ version, services, kinds, idleRoutes: idleRoutes + version }),
        );
    accept(1);
    const daemons = Array.from({ length: count }, (_, index) => startDaemon(index, store.address));
    const servers = await Promise.all(
        daemons.map(({ announcements }, index) =>
            startSiteServer({
                id: `i-${index}`,
                service: services[index % services.length] ?? "",
                daemon: announcements,
            }),
        ),
    );
    await Promise.all(daemons.map(waitUntilReady));
    for (const version of [2, 3]) {
        await Promise.all(daemons.map(callAllRoutes));
        accept(version);
        await sleep(pauseMs);
    }
    await Promise.all(servers.map(server => server.close()));
    await store.close();
}

async function waitUntilReady({ readiness }: WarmUpDaemon): Promise<void> {
    const deadline = performance.now() + readyDeadlineMs;
    for (;;) {
        const isReady = await fetch(`http://${readiness}/-/readiness`).then(
            response => response.ok,
            () => false,
        );
        if (isReady) {
            return;
        }
        if (performance.now() > deadline) {
            throw new Error(`a daemon was not ready within ${readyDeadlineMs} ms`);
        }
        await sleep(pauseMs);
    }
}

async function callAllRoutes({ calls }: WarmUpDaemon): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    for (let round = 0; round < callsPerRoute; round += 1) {
        for (const service of services) {
            await call(agent, calls, { method: "GET", path: `/safe-${service}/x`, bytes: 0 });
            await call(agent, calls, {
                method: "POST",
                path: `/unsafe-${service}/x`,
                bytes: bodySizes[1] ?? 0,
            });
        }
    }
    for (const service of services) {
        for (const bytes of bodySizes) {
            await call(agent, calls, { method: "POST", path: `/upload-${service}/x`, bytes });
        }
    }
    await call(agent, calls, { method: "GET", path: "/unknown/", bytes: 0 });
    agent.destroy();
}

interface WarmUpCall {
    readonly method: string;
    readonly path: string;
    readonly bytes: number;
}

/** Makes one call; its outcome does not matter. */
function call(agent: Agent, address: string, { method, path, bytes }: WarmUpCall): Promise<void> {
    const [host, port] = address.split(":");
    const headers = {
        host: siteHostName,
        "x-attempt-id": randomUUID(),
        "x-request-deadline": "5000",
        ...(bytes === 0 ? {} : { "content-length": bytes }),
    };
    return new Promise(resolve => {
        const sent = request({ agent, host, port, method, path, headers }, response => {
            response.resume();
            response.once("close", () => resolve());
        });
        sent.once("error", () => resolve());
        sent.end(bytes === 0 ? undefined : Buffer.alloc(bytes, "x"));
    });
}
