import { request } from "undici";
import type { DemoHost } from "./board.js";
import { keys } from "./keys.js";

const requestDeadlineMs = 1_000;

/** Body of an admin request, or `undefined` when the daemon does not answer with 200. */
export async function readAdmin(host: DemoHost, path: string): Promise<string | undefined> {
    try {
        const response = await request(`http://${host.admin}${path}`, {
            headers: { authorization: `Bearer ${keys.operator}` },
            signal: AbortSignal.timeout(requestDeadlineMs),
        });
        const text = await response.body.text();
        return response.statusCode === 200 ? text : undefined;
    } catch {
        return undefined;
    }
}

/** Version that the host reports in `/v1/status`; 0 when it does not answer. */
export async function readVersion(host: DemoHost): Promise<number> {
    const text = await readAdmin(host, "/v1/status");
    return text === undefined ? 0 : (JSON.parse(text) as { version: number }).version;
}

export async function countHostsOn(hosts: readonly DemoHost[], version: number): Promise<number> {
    const versions = await Promise.all(hosts.map(readVersion));
    return versions.filter(held => held === version).length;
}

export async function isReady(host: DemoHost): Promise<boolean> {
    return (await readAdmin(host, "/readyz")) !== undefined;
}
