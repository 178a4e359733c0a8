import { once } from "node:events";
import { createServer, type Server } from "node:net";

/** 20000 to 31999: the ports below 32768, where the ephemeral port range of Linux begins. */
const firstPort = 20_000;
const portCount = 12_000;
/** Recently returned ports are not returned again, because two searches may run before either caller listens. */
const maxRecentPorts = 2_000;
const recentPorts = new Set<number>();

/**
 * Finds free loopback ports outside the ephemeral port range: an outgoing connection could take a port of that
 * range before the process that it is meant for listens. Each port stays bound until the last one is found.
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
    const openServers: Server[] = [];
    const ports: number[] = [];
    let offset = Math.floor(Math.random() * portCount);
    for (let attempts = 0; ports.length < count && attempts < portCount; attempts += 1) {
        offset = (offset + 1) % portCount;
        if (recentPorts.has(firstPort + offset)) {
            continue;
        }
        rememberPort(firstPort + offset);
        const server = createServer().listen(firstPort + offset, "127.0.0.1");
        const isFree = await once(server, "listening").then(
            () => true,
            () => false,
        );
        if (isFree) {
            openServers.push(server);
            ports.push(firstPort + offset);
        }
    }
    await Promise.all(openServers.map(server => once(server.close(), "close")));
    return ports;
}

function rememberPort(port: number): void {
    recentPorts.add(port);
    const [oldest] = recentPorts;
    if (recentPorts.size > maxRecentPorts && oldest !== undefined) {
        recentPorts.delete(oldest);
    }
}
