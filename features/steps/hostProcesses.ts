import { findFreePorts, startPlatform, startRelay, type Platform, type Relay } from "@tanagertray/standin";
import assert from "node:assert/strict";
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";

const operatorToken = "operator-token-0001";
const requestDeadlineMs = 1_000;
/** Interval between samples of the state of each daemon, in milliseconds. */
const samplePeriodMs = 25;

/** Readiness and version that a daemon reported, and the number of its starts until then. */
export interface Sample {
    readonly startCount: number;
    readonly ready: boolean;
    readonly version: number;
}

/** A daemon process with one relay in front of its peer listener and one between it and the platform. */
export interface HostProcess {
    readonly name: string;
    readonly callsAddress: string;
    readonly adminAddress: string;
    readonly peerRelay: Relay;
    readonly platformRelay: Relay;
    readonly samples: Sample[];
    child: ChildProcess;
    start(): void;
    kill(): Promise<void>;
    /** Samples the state; `undefined` when the daemon does not answer. */
    sample(): Promise<Sample | undefined>;
    accept(answersFile: string): Promise<void>;
}

export interface HostProcesses {
    readonly platform: Platform;
    readonly hosts: readonly HostProcess[];
    close(): Promise<void>;
}

export interface HostProcessesOptions {
    /**
     * Node.js options for every daemon process.
     * @default []
     */
    readonly nodeArguments?: readonly string[];
    /** @default "error" */
    readonly logLevel?: string;
}

/** Starts one daemon for each name; the first letter of a name is the failure domain. */
export async function startHostProcesses(
    names: readonly string[],
    spread: string,
    { nodeArguments = [], logLevel = "error" }: HostProcessesOptions = {},
): Promise<HostProcesses> {
    const folder = mkdtempSync(join(tmpdir(), "tanagertray-"));
    const platform = await startPlatform();
    const ports = await findFreePorts(names.length * 3);
    const peerRelays = await Promise.all(
        names.map((_name, index) => startRelay({ target: `127.0.0.1:${ports[3 * index]}` })),
    );
    const hosts = await Promise.all(
        names.map(async (name, index): Promise<HostProcess> => {
            const [peer, calls, admin] = ports.slice(3 * index).map(port => `127.0.0.1:${port}`) as [
                string,
                string,
                string,
            ];
            const peerRelay = peerRelays[index] as Relay;
            const platformRelay = await startRelay({ target: `127.0.0.1:${platform.port}` });
            const settings = {
                host: name,
                failureDomain: name.slice(0, 1),
                region: "r1",
                listen: { calls, peer, admin },
                advertise: { peer: peerRelay.address },
                platform: { url: `http://${platformRelay.address}` },
                peers: peerRelays.filter(relay => relay !== peerRelay).map(relay => relay.address),
                keys: {
                    operator: [operatorToken],
                    backendServer: ["backend-token-0001"],
                    peer: ["peer-key-00000001"],
                },
                spread,
                log: { level: logLevel },
            };
            const settingsFile = join(folder, `${name}.jsonc`);
            writeFileSync(settingsFile, JSON.stringify(settings));
            return createHost({
                name,
                callsAddress: calls,
                adminAddress: admin,
                settingsFile,
                peerRelay,
                platformRelay,
                nodeArguments,
            });
        }),
    );
    hosts.forEach(host => host.start());
    const sampler = new AbortController();
    const sampling = hosts.map(async host => {
        while (!sampler.signal.aborted) {
            await host.sample();
            await sleep(samplePeriodMs);
        }
    });
    return {
        platform,
        hosts,
        async close() {
            sampler.abort();
            await Promise.all([...sampling, ...hosts.map(host => host.kill())]);
            await Promise.all(hosts.flatMap(host => [host.peerRelay.close(), host.platformRelay.close()]));
            await platform.close();
            rmSync(folder, { recursive: true });
        },
    };
}

interface HostOptions extends Pick<
    HostProcess,
    "name" | "callsAddress" | "adminAddress" | "peerRelay" | "platformRelay"
> {
    readonly settingsFile: string;
    readonly nodeArguments: readonly string[];
}

function createHost({
    name,
    callsAddress,
    adminAddress,
    settingsFile,
    peerRelay,
    platformRelay,
    nodeArguments,
}: HostOptions): HostProcess {
    let startCount = 0;
    const request = (path: string, init: RequestInit = {}) =>
        fetch(`http://${adminAddress}${path}`, {
            ...init,
            headers: { authorization: `Bearer ${operatorToken}`, ...init.headers },
            signal: AbortSignal.timeout(requestDeadlineMs),
        });
    const post = async (path: string, body: unknown) => {
        const headers = { "content-type": "application/json" };
        const response = await request(path, { method: "POST", headers, body: JSON.stringify(body) });
        const text = await response.text();
        assert.ok(response.ok, text);
        return JSON.parse(text) as { number: number };
    };
    const host: HostProcess = {
        name,
        callsAddress,
        adminAddress,
        peerRelay,
        platformRelay,
        samples: [],
        child: undefined as never,
        start() {
            startCount += 1;
            const args = [...nodeArguments, "packages/daemon/dist/main.js", "--settings", settingsFile];
            host.child = spawn(process.execPath, args, { stdio: ["ignore", "ignore", "inherit"] });
        },
        async kill() {
            const exited = once(host.child, "exit");
            host.child.kill("SIGKILL");
            await exited;
        },
        async sample() {
            const startCountBefore = startCount;
            const status = await request("/v1/status").then(
                async response =>
                    (await response.json()) as { version: number; readiness: { state: string } },
                () => undefined,
            );
            if (status === undefined || startCountBefore !== startCount) {
                return undefined;
            }
            const { version, readiness } = status;
            const sample = { startCount, ready: readiness.state === "ready", version };
            host.samples.push(sample);
            return sample;
        },
        async accept(answersFile) {
            const answers = readFileSync(answersFile, "utf8");
            const { number } = await post("/v1/revisions", { operator: "test", answers });
            await post("/v1/accept", { operator: "test", revision: number });
        },
    };
    return host;
}
