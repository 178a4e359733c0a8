import type { Socket } from "node:net";

export interface FloodOptions {
    /** Written once, before the first part. */
    readonly start: string;
    readonly part: string;
    /** Called with the number of bytes of each write. */
    readonly count: (bytes: number) => void;
}

/** Most bytes that one flood writes, so that a test without a bound in the daemon ends. */
const maxFloodBytes = 4_294_967_296;
/** Size of one write. */
const writeBytes = 65_536;

/** Writes parts to a connection until the other end closes it, as fast as it reads them. */
export function flood(socket: Socket, { start, part, count }: FloodOptions): void {
    const block = Buffer.from(part.repeat(Math.ceil(writeBytes / part.length)));
    let written = 0;

    function write(): void {
        let takesMore = true;
        while (takesMore && !socket.destroyed && written < maxFloodBytes) {
            takesMore = socket.write(block);
            written += block.length;
            count(block.length);
        }
    }

    socket.on("drain", write);
    socket.write(start);
    write();
}
