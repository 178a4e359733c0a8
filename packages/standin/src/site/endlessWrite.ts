import type { Socket } from "node:net";

export interface EndlessWriteOptions {
    /** Written once, before the repeated part. */
    readonly start: string;
    readonly part: string;
    /** Called with the number of bytes of each write. */
    readonly onWrite: (bytes: number) => void;
}

/** Limit of one response, so that a test ends even if the daemon reads without a bound. */
const maxBytes = 4_294_967_296;
/** Approximate size of one write. */
const writeBytes = 65_536;

/** Writes `part` repeatedly until the peer closes the connection, as fast as the peer reads. */
export function writeUntilClosed(socket: Socket, { start, part, onWrite }: EndlessWriteOptions): void {
    const block = Buffer.from(part.repeat(Math.ceil(writeBytes / part.length)));
    let written = 0;

    function write(): void {
        let hasBufferSpace = true;
        while (hasBufferSpace && !socket.destroyed && written < maxBytes) {
            hasBufferSpace = socket.write(block);
            written += block.length;
            onWrite(block.length);
        }
    }

    socket.on("drain", write);
    socket.write(start);
    write();
}
