import { once } from "node:events";
import { createServer, type Server } from "node:net";

/** Ports from here up to the range from which systems take the ports of outgoing connections. */
const firstPort = 20_000;
const portCount = 12_000;
/** Ports that this process found last and does not find again: two searches may run before either has used its ports. */
const maxRecentPorts = 2_000;
const recentPorts = new Set<number>();

/**
 * Finds free loopback ports outside the range of outgoing connections: a port inside it may be taken by a
 * connection before the process that it is meant for listens. All are held until the last is found.
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
    const held: Server[] = [];
    const ports: number[] = [];
    let offset = Math.floor(Math.random() * portCount);
    for (let tries = 0; ports.length < count && tries < portCount; tries += 1) {
        offset = (offset + 1) % portCount;
        if (recentPorts.has(firstPort + offset)) {
            continue;
        }
        noteRecent(firstPort + offset);
        const server = createServer().listen(firstPort + offset, "127.0.0.1");
        const isFree = await once(server, "listening").then(
            () => true,
            () => false,
        );
        if (isFree) {
            held.push(server);
            ports.push(firstPort + offset);
        }
    }
    await Promise.all(held.map(server => once(server.close(), "close")));
    return ports;
}

function noteRecent(port: number): void {
    recentPorts.add(port);
    const [oldest] = recentPorts;
    if (recentPorts.size > maxRecentPorts && oldest !== undefined) {
        recentPorts.delete(oldest);
    }
}
