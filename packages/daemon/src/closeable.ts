/** Something that owns resources. `close` may be called more than once. */
export interface Closeable {
    close(): Promise<void> | void;
}
