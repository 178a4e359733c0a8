import { once } from "node:events";
import { createServer, type AddressInfo } from "node:net";

/** Finds free ports. All are held until the last is found, so that none is found twice. */
export async function findFreeAddresses(count: number): Promise<readonly string[]> {
    const servers = Array.from({ length: count }, () => createServer().listen(0, "127.0.0.1"));
    await Promise.all(servers.map(server => once(server, "listening")));
    const addresses = servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`);
    await Promise.all(servers.map(server => once(server.close(), "close")));
    return addresses;
}
