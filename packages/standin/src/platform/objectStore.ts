import type { PlatformBoard } from "./board.js";

export interface ObjectStore {
    read(hash: string): Buffer | undefined;
    /** Returns the entity tag. Writing an object again is harmless, because its key is the hash of its content. */
    write(hash: string, bytes: Buffer): string;
}

/** Writes the `objects` section. */
export function createObjectStore(board: PlatformBoard): ObjectStore {
    const section = board.claimValue("objects");
    const objects = new Map<string, Buffer>();
    return {
        read: hash => objects.get(hash),
        write(hash, bytes) {
            objects.set(hash, bytes);
            section.write(objects);
            return `"${hash}"`;
        },
    };
}
