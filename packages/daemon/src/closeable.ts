/** Owner of resources that must be released. `close` may be called more than once. */
export interface Closeable {
    close(): Promise<void> | void;
}
