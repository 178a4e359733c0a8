import { connect, createServer, type Server, type Socket } from "node:net";
import { addressOf } from "./testDaemon.js";

/** Forwards connections, and can stop forwarding on the open ones while new ones work. */
export interface LinkRelay {
    readonly address: string;
    /** Bytes that were forwarded, both ways. */
    bytes(): number;
    silence(): void;
    close(): void;
}

export async function startRelay(target: string): Promise<LinkRelay> {
    const [address = "", port] = target.split(":");
    const sockets: Socket[] = [];
    let bytes = 0;
    const server = createServer(inner => {
        const outer = connect(Number(port), address);
        [inner, outer].forEach(socket => {
            socket.on("error", () => undefined);
            socket.on("data", (chunk: Buffer) => (bytes += chunk.length));
        });
        inner.pipe(outer).pipe(inner);
        sockets.push(inner, outer);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: addressOf(server as Server as never),
        bytes: () => bytes,
        silence: () => sockets.splice(0).forEach(socket => socket.unpipe().pause()),
        close() {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
}
