import { createServer, type AddressInfo } from "node:net";

/** Returns a loopback port that was free when checked; another process may take it before its use. */
export async function freePort(): Promise<number> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return port;
}
