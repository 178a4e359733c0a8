import { findFreePorts, startPlatform, startRelay, type Platform, type Relay } from "@tanagertray/standin";
import assert from "node:assert/strict";
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";

const token = "operator-token-0001";
const requestDeadlineMs = 1_000;
/** Period at which the state of every daemon is sampled. */
const sampleMs = 25;

/** Readiness and version that a daemon reported, and how often it had been started. */
export interface Sample {
    readonly starts: number;
    readonly ready: boolean;
    readonly version: number;
}

/** A daemon process with a relay in front of its peer listener and one before the platform. */
export interface HostProcess {
    readonly name: string;
    readonly calls: string;
    readonly admin: string;
    readonly links: Relay;
    readonly platform: Relay;
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
     * Arguments of Node itself for every daemon.
     * @default []
     */
    readonly nodeArguments?: readonly string[];
    /** @default "error" */
    readonly logLevel?: string;
}

/** Starts one daemon for each name; its first letter is the failure domain. */
export async function startHostProcesses(
    names: readonly string[],
    spread: string,
    { nodeArguments = [], logLevel = "error" }: HostProcessesOptions = {},
): Promise<HostProcesses> {
    const folder = mkdtempSync(join(tmpdir(), "tanagertray-"));
    const platform = await startPlatform();
    const ports = await findFreePorts(names.length * 3);
    const linkRelays = await Promise.all(
        names.map((_name, at) => startRelay({ target: `127.0.0.1:${ports[3 * at]}` })),
    );
    const hosts = await Promise.all(
        names.map(async (host, at): Promise<HostProcess> => {
            const [peer, calls, admin] = ports.slice(3 * at).map(port => `127.0.0.1:${port}`) as [
                string,
                string,
                string,
            ];
            const links = linkRelays[at] as Relay;
            const platformRelay = await startRelay({ target: `127.0.0.1:${platform.port}` });
            const settings = {
                host,
                failureDomain: host.slice(0, 1),
                region: "r1",
                listen: { calls, peer, admin },
                advertise: { peer: links.address },
                platform: { url: `http://${platformRelay.address}` },
                peers: linkRelays.filter(relay => relay !== links).map(relay => relay.address),
                keys: {
                    operator: [token],
                    backendServer: ["backend-token-0001"],
                    peer: ["peer-key-00000001"],
                },
                spread,
                log: { level: logLevel },
            };
            const file = join(folder, `${host}.jsonc`);
            writeFileSync(file, JSON.stringify(settings));
            return createHost({
                name: host,
                calls,
                admin,
                file,
                links,
                platform: platformRelay,
                nodeArguments,
            });
        }),
    );
    hosts.forEach(host => host.start());
    const sampler = new AbortController();
    const sampling = hosts.map(async host => {
        while (!sampler.signal.aborted) {
            await host.sample();
            await sleep(sampleMs);
        }
    });
    return {
        platform,
        hosts,
        async close() {
            sampler.abort();
            await Promise.all([...sampling, ...hosts.map(host => host.kill())]);
            await Promise.all(hosts.flatMap(host => [host.links.close(), host.platform.close()]));
            await platform.close();
            rmSync(folder, { recursive: true });
        },
    };
}

interface HostOptions extends Pick<HostProcess, "name" | "calls" | "admin" | "links" | "platform"> {
    readonly file: string;
    readonly nodeArguments: readonly string[];
}

function createHost({ name, calls, admin, file, links, platform, nodeArguments }: HostOptions): HostProcess {
    let starts = 0;
    const request = (path: string, init: RequestInit = {}) =>
        fetch(`http://${admin}${path}`, {
            ...init,
            headers: { authorization: `Bearer ${token}`, ...init.headers },
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
        calls,
        admin,
        links,
        platform,
        samples: [],
        child: undefined as never,
        start() {
            starts += 1;
            const args = [...nodeArguments, "packages/daemon/dist/main.js", "--settings", file];
            host.child = spawn(process.execPath, args, { stdio: ["ignore", "ignore", "inherit"] });
        },
        async kill() {
            const exited = once(host.child, "exit");
            host.child.kill("SIGKILL");
            await exited;
        },
        async sample() {
            const before = starts;
            const status = await request("/v1/status").then(
                async response =>
                    (await response.json()) as { version: number; readiness: { state: string } },
                () => undefined,
            );
            if (status === undefined || before !== starts) {
                return undefined;
            }
            const { version, readiness } = status;
            const sample = { starts, ready: readiness.state === "ready", version };
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
