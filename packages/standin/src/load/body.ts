import { createHash } from "node:crypto";

/** Bytes of one piece of an upload. */
const pieceBytes = 65_536;

export interface CallBody {
    readonly bytes: number;
    /** SHA-256 in hexadecimal. */
    readonly hash: string;
    /** Creates the body piece by piece, so that an upload is never in memory as a whole. */
    pieces(): Iterable<Buffer>;
}

/** A body of the given size that no other call sends. */
export function createBody(id: string, bytes: number): CallBody {
    const piece = Buffer.alloc(Math.min(pieceBytes, bytes), `${id} `);
    function* pieces(): Iterable<Buffer> {
        for (let sent = 0; sent < bytes; sent += piece.length) {
            yield piece.subarray(0, Math.min(piece.length, bytes - sent));
        }
    }
    const hash = createHash("sha256");
    for (const part of pieces()) {
        hash.update(part);
    }
    return { bytes, hash: hash.digest("hex"), pieces };
}
