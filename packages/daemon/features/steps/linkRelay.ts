import { connect, createServer, type Server, type Socket } from "node:net";
import { Transform } from "node:stream";
import { addressOf } from "./testDaemon.js";

/** Bytes of one direction of a connection, passed on as they come or, once it is metered, on demand. */
interface Meter {
    readonly stream: Transform;
    hold(): void;
    /** Passes on at most the given number of the held bytes. */
    release(bytes: number): void;
}

function createMeter(): Meter {
    let held: Buffer | undefined;
    const stream = new Transform({
        transform(chunk: Buffer, _encoding, done) {
            if (held === undefined) {
                done(null, chunk);
            } else {
                held = Buffer.concat([held, chunk]);
                done();
            }
        },
    });
    return {
        stream,
        hold: () => (held ??= Buffer.alloc(0)),
        release(bytes) {
            const released = held?.subarray(0, bytes);
            held = held?.subarray(bytes);
            if (released !== undefined && released.length > 0 && !stream.writableFinished) {
                stream.push(released);
            }
        },
    };
}

/** TCP relay that can stop forwarding on its open connections while it still forwards new ones. */
export interface LinkRelay {
    readonly address: string;
    /** Bytes forwarded in both directions. */
    forwardedBytes(): number;
    stopForwarding(): void;
    /** From now on forwards bytes of the open connections only when they are released. */
    meter(): void;
    /** Forwards at most the given number of bytes in each direction of each metered connection. */
    release(bytes: number): void;
    close(): void;
}

export async function startRelay(target: string): Promise<LinkRelay> {
    const [address = "", port] = target.split(":");
    const sockets: Socket[] = [];
    const meters: Meter[] = [];
    let forwardedBytes = 0;
    const server = createServer(clientSocket => {
        const targetSocket = connect(Number(port), address);
        [clientSocket, targetSocket].forEach(socket => {
            socket.on("error", () => undefined);
            socket.on("data", (chunk: Buffer) => (forwardedBytes += chunk.length));
        });
        const there = createMeter();
        const back = createMeter();
        clientSocket.pipe(there.stream).pipe(targetSocket).pipe(back.stream).pipe(clientSocket);
        meters.push(there, back);
        sockets.push(clientSocket, targetSocket);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: addressOf(server as Server as never),
        forwardedBytes: () => forwardedBytes,
        stopForwarding: () => sockets.splice(0).forEach(socket => socket.unpipe().pause()),
        meter: () => meters.forEach(meter => meter.hold()),
        release: bytes => meters.forEach(meter => meter.release(bytes)),
        close() {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
}
