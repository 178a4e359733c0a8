/** Thread of a freezable relay. */
import { connect, createServer, type AddressInfo } from "node:net";
import { parentPort, workerData, type MessagePort } from "node:worker_threads";

export interface FreezableRelayData {
    readonly target: string;
    /** The thread is blocked while its only element is 1. */
    readonly gate: Int32Array;
}

/** Messages between the thread and the one that started it, besides the address of the listener. */
export const ThreadMessage = { Freeze: "freeze", Frozen: "frozen" } as const;

/** Shortest queue of connections that the runtime can ask for. */
const backlog = 1;

function startThread(parent: MessagePort, { target, gate }: FreezableRelayData): void {
    const colon = target.lastIndexOf(":");
    const server = createServer({ allowHalfOpen: true }, client => {
        const upstream = connect({
            host: target.slice(0, colon),
            port: Number(target.slice(colon + 1)),
            allowHalfOpen: true,
        });
        [client, upstream].forEach(socket => socket.setNoDelay(true));
        client.on("error", () => upstream.destroy());
        upstream.on("error", () => client.destroy());
        client.pipe(upstream);
        upstream.pipe(client);
    });
    server.listen({ host: "127.0.0.1", port: 0, backlog }, () => {
        const { address, port } = server.address() as AddressInfo;
        parent.postMessage(`${address}:${port}`);
    });
    parent.on("message", () => {
        parent.postMessage(ThreadMessage.Frozen);
        Atomics.wait(gate, 0, 1);
    });
}

if (parentPort !== null) {
    startThread(parentPort, workerData as FreezableRelayData);
}
