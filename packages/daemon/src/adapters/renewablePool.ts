import type { Pool } from "undici";

/** Pool of connections to a server that may stop answering on them. */
export interface RenewablePool {
    current(): Pool;
    /**
     * Replaces the pool if it is still the current one; its requests in flight go on. To be called after a request without a
     * response: the client library opens a new connection in place of that of an aborted request at once, and this one is as
     * silent as the one before if the server is not back yet.
     */
    renew(used: Pool): void;
    /** Ends all requests in flight. */
    destroy(): Promise<void>;
}

/**
 * @example
 * ```ts
 * const connections = createRenewablePool(() => new Pool("http://10.200.1.7:8309", { connections: 8 }));
 * const pool = connections.current();
 * await pool.request({ method: "GET", path: "/" }).catch(() => connections.renew(pool));
 * ```
 */
export function createRenewablePool(createPool: () => Pool): RenewablePool {
    let pool = createPool();
    const retired = new Set<Pool>();
    return {
        current: () => pool,
        renew(used) {
            if (used !== pool) {
                return;
            }
            pool = createPool();
            retired.add(used);
            void used.close().then(
                () => retired.delete(used),
                () => retired.delete(used),
            );
        },
        async destroy() {
            await Promise.all([pool, ...retired].map(each => each.destroy()));
        },
    };
}
