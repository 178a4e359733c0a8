import { request } from "undici";
import type { DemoHost } from "./board.js";
import { keys } from "./keys.js";

const requestDeadlineMs = 1_000;

/** Returns the body of an admin response, or `undefined` unless the daemon responds with 200. */
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

/** Returns the version that the host reports in `/v1/status`, or 0 if it does not respond. */
export async function readVersion(host: DemoHost): Promise<number> {
    const text = await readAdmin(host, "/v1/status");
    return text === undefined ? 0 : (JSON.parse(text) as { version: number }).version;
}

export async function countHostsWithVersion(hosts: readonly DemoHost[], version: number): Promise<number> {
    const versions = await Promise.all(hosts.map(readVersion));
    return versions.filter(reported => reported === version).length;
}

export async function isReady(host: DemoHost): Promise<boolean> {
    return (await readAdmin(host, "/readyz")) !== undefined;
}
