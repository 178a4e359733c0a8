import { createHash } from "node:crypto";

const chunkBytes = 65_536;

export interface CallBody {
    readonly bytes: number;
    /** SHA-256 in hexadecimal. */
    readonly hash: string;
    /** Generates the body in chunks, so that an upload is never held in memory as a whole. */
    chunks(): Iterable<Buffer>;
}

/** Creates a body of the given size that differs from the body of every other call. */
export function createBody(id: string, bytes: number): CallBody {
    const chunk = Buffer.alloc(Math.min(chunkBytes, bytes), `${id} `);
    function* chunks(): Iterable<Buffer> {
        for (let sent = 0; sent < bytes; sent += chunk.length) {
            yield chunk.subarray(0, Math.min(chunk.length, bytes - sent));
        }
    }
    const hash = createHash("sha256");
    for (const chunk of chunks()) {
        hash.update(chunk);
    }
    return { bytes, hash: hash.digest("hex"), chunks };
}
