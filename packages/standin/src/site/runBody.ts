export interface RunBodyOptions {
    /** Id of the call. */
    readonly id: string;
    /** Id of the backend server. */
    readonly server: string;
    /** Number of the run at that backend server. */
    readonly number: number;
    /** SHA-256 of the body of the call, in hexadecimal. */
    readonly hash: string;
    /** Bytes of the body. */
    readonly size: number;
}

/**
 * Body of an answer, which names its run in each line, so that a mixed or cut one is told from the whole.
 *
 * @example
 * ```ts
 * createRunBody({ id: "c-1", server: "i-1", number: 3, hash: "", size: 12 }); // "c-1 i-1 3 \nc"
 * ```
 */
export function createRunBody({ id, server, number, hash, size }: RunBodyOptions): string {
    const line = `${id} ${server} ${number} ${hash}\n`;
    return line.repeat(Math.ceil(size / line.length)).slice(0, size);
}
