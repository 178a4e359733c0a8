export interface RunBodyOptions {
    /** Call id. */
    readonly id: string;
    /** Backend server id. */
    readonly server: string;
    /** Sequence number of the run on that backend server. */
    readonly number: number;
    /** SHA-256 of the request body, in hexadecimal. */
    readonly hash: string;
    /** Length of the response body in bytes. */
    readonly size: number;
}

/**
 * Creates a response body that identifies its run in each line, so that a mixed or truncated body can be detected.
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
