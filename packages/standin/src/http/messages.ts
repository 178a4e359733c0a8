/** HTTP helpers shared by the stand-ins. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** Limit for bodies that are read into memory, such as a snapshot or a control document. */
const maxBodyBytes = 16_777_216;

export interface Listener {
    readonly address: string;
    readonly port: number;
    readonly url: string;
}

export function sendJson(
    response: ServerResponse,
    status: number,
    body?: unknown,
    headers: Readonly<Record<string, string>> = {},
): void {
    response.writeHead(status, { "content-type": "application/json", ...headers });
    response.end(body === undefined ? "" : JSON.stringify(body));
}

export async function readBody(request: IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        size += chunk.length;
        if (size > maxBodyBytes) {
            throw new Error(`the body is larger than ${maxBodyBytes} bytes`);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

export async function readJson(request: IncomingMessage): Promise<unknown> {
    return JSON.parse((await readBody(request)).toString("utf8"));
}

export async function listen(server: Server, port = 0, address = "127.0.0.1"): Promise<Listener> {
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, address, resolve);
    });
    const boundPort = (server.address() as AddressInfo).port;
    return { address: `${address}:${boundPort}`, port: boundPort, url: `http://${address}:${boundPort}` };
}

export function closeServer(server: Server): Promise<void> {
    return new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
    });
}
