import { connect, createServer, type Server, type Socket } from "node:net";
import { addressOf } from "./testDaemon.js";

/** TCP relay that can stop forwarding on its open connections while it still forwards new ones. */
export interface LinkRelay {
    readonly address: string;
    /** Bytes forwarded in both directions. */
    forwardedBytes(): number;
    stopForwarding(): void;
    close(): void;
}

export async function startRelay(target: string): Promise<LinkRelay> {
    const [address = "", port] = target.split(":");
    const sockets: Socket[] = [];
    let forwardedBytes = 0;
    const server = createServer(clientSocket => {
        const targetSocket = connect(Number(port), address);
        [clientSocket, targetSocket].forEach(socket => {
            socket.on("error", () => undefined);
            socket.on("data", (chunk: Buffer) => (forwardedBytes += chunk.length));
        });
        clientSocket.pipe(targetSocket).pipe(clientSocket);
        sockets.push(clientSocket, targetSocket);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: addressOf(server as Server as never),
        forwardedBytes: () => forwardedBytes,
        stopForwarding: () => sockets.splice(0).forEach(socket => socket.unpipe().pause()),
        close() {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
}
