import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { Worker } from "node:worker_threads";
import { ThreadMessage, type FreezableRelayData } from "./relay/freezableRelayThread.js";

/** A TCP relay that can stop like a suspended process or a host without network. */
export interface FreezableRelay {
    /** `address:port` */
    readonly address: string;
    /**
     * Stops accepting and forwarding. The kernel completes the connections that fit into the queue of the listener, which
     * this fills, and drops the packets that open further ones.
     */
    freeze(): Promise<void>;
    /** Accepts and forwards again, beginning with what has arrived meanwhile. */
    thaw(): void;
    close(): Promise<void>;
}

/** Time after which a connection without an answer counts as dropped, in milliseconds. */
const dropDetectionMs = 200;
/** Upper bound of the connections that fill the queue of the listener. */
const maxFillingConnections = 16;

/**
 * Starts a relay in a thread of its own.
 *
 * @param target - `address:port` to which connections are forwarded
 * @example
 * ```ts
 * const relay = await startFreezableRelay(store.address);
 * await relay.freeze();
 * ```
 */
export async function startFreezableRelay(target: string): Promise<FreezableRelay> {
    const gate = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
    const workerData: FreezableRelayData = { target, gate };
    const thread = new Worker(new URL("./relay/freezableRelayThread.js", import.meta.url), { workerData });
    const [address] = (await once(thread, "message")) as [string];
    const port = Number(address.slice(address.lastIndexOf(":") + 1));
    const filling: Socket[] = [];

    async function fillQueue(): Promise<void> {
        while (filling.length < maxFillingConnections) {
            const socket = connect(port, "127.0.0.1");
            socket.on("error", () => undefined);
            filling.push(socket);
            const isDropped = await once(socket, "connect", {
                signal: AbortSignal.timeout(dropDetectionMs),
            }).then(
                () => false,
                () => true,
            );
            if (isDropped) {
                return;
            }
        }
        throw new Error(`the listener took ${maxFillingConnections} connections while it was frozen`);
    }

    function thaw(): void {
        filling.splice(0).forEach(socket => socket.destroy());
        Atomics.store(gate, 0, 0);
        Atomics.notify(gate, 0);
    }

    return {
        address,
        async freeze() {
            Atomics.store(gate, 0, 1);
            const frozen = once(thread, "message");
            thread.postMessage(ThreadMessage.Freeze);
            await frozen;
            await fillQueue();
        },
        thaw,
        async close() {
            thaw();
            await thread.terminate();
        },
    };
}
