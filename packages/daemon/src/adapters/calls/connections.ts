import { buildConnector, Client, type Dispatcher } from "undici";
import type { Socket } from "node:net";
import {
    connectTimeoutMs,
    maxExchangesPerConnection,
    maxResponseHeadBytes,
    poolIdleTimeoutMs,
} from "./constants.js";
import { waitForPendingEvents } from "./pendingEvents.js";

/** One connection to a backend server or another daemon. */
export interface Connection {
    /** Exchanges started on this connection. */
    exchangeCount: number;
    /** Ids of these exchanges. A response is matched to its exchange by the id, so no id may be used twice. */
    readonly exchangeIds: Set<string>;
    /** Bytes received by the end of the last exchange. Bytes received after it, while idle, belong to no exchange. */
    receivedAtLastEnd: number;
    /** Called when bytes arrive for the exchange in progress; `undefined` while the connection is idle. */
    onReadable: (() => void) | undefined;
    /** Resumes the exchange in progress; set while it is paused for a slow reader. */
    resume: (() => void) | undefined;
    /** Whether the connection was reset. */
    wasReset: boolean;
    /** Bytes received, parsed or not. */
    receivedBytes(): number;
    /** Closes the connection after its exchange. */
    discard(): void;
}

/** Options of a dispatch that needs to know which connection carries it. */
export interface TrackedDispatchOptions extends Dispatcher.DispatchOptions {
    /** Called at dispatch, possibly before the connection exists. The getter is called when the request is about to be written. */
    setConnectionGetter(getConnection: () => Connection | undefined): void;
}

/** Whether responses on the connection can be matched to an exchange with this id. */
export function canCarry(
    { exchangeCount, exchangeIds, receivedBytes, receivedAtLastEnd }: Connection,
    id: string | undefined,
): boolean {
    const hasNoStrayBytes = receivedBytes() === receivedAtLastEnd;
    return hasNoStrayBytes && (exchangeCount === 0 || (id !== undefined && !exchangeIds.has(id)));
}

/** Error code that the client library treats as a failure of one connection, so that it keeps using the others. */
const connectionErrorCode = "UND_ERR_SOCKET";

/** Creates a client with one connection at a time that records the exchanges on that connection. */
export function createTrackingClient(origin: string | URL): Client {
    let current: Connection | undefined;
    const connect = buildConnector({ timeout: connectTimeoutMs });
    const client = new Client(origin, {
        pipelining: 1,
        keepAliveTimeout: poolIdleTimeoutMs,
        keepAliveMaxTimeout: poolIdleTimeoutMs,
        maxRequestsPerClient: maxExchangesPerConnection,
        maxHeaderSize: maxResponseHeadBytes,
        connect(options, callback) {
            connect(options, (...result) => {
                const [error, socket] = result;
                current = error === null ? trackConnection(socket) : undefined;
                // The callback writes the requests that wait for the connection.
                void waitForPendingEvents().then(() => callback(...result));
            });
        },
    });
    const dispatch = client.dispatch.bind(client);
    client.dispatch = (options, handler) => {
        (options as Partial<TrackedDispatchOptions>).setConnectionGetter?.(() => current);
        return dispatch(options, handler);
    };
    return client;
}

function trackConnection(socket: Socket): Connection {
    const connection: Connection = {
        exchangeCount: 0,
        exchangeIds: new Set(),
        receivedAtLastEnd: 0,
        onReadable: undefined,
        resume: undefined,
        wasReset: false,
        receivedBytes: () => socket.bytesRead,
        discard: () => void socket.destroy(),
    };
    correctEndHandling(socket, connection);
    socket.on("readable", () => {
        if (connection.onReadable !== undefined) {
            connection.onReadable();
        } else if (socket.bytesRead > connection.receivedAtLastEnd && !socket.destroyed) {
            socket.destroy();
        }
    });
    return connection;
}

/**
 * Works around two faults of the client library at the end of a connection: it treats a reset as the end of a response
 * without a length, and it throws if the connection ends while its parser is paused.
 */
function correctEndHandling(socket: Socket, connection: Connection): void {
    socket.prependListener("error", (error: NodeJS.ErrnoException) => {
        if (error.code === "ECONNRESET") {
            error.code = connectionErrorCode;
        }
    });
    socket.prependListener("end", () => {
        connection.resume?.();
        // The event loop reports a reset that arrives together with data as an end. Only a connection that was not reset
        // still has a remote address. It must not be read earlier, because the socket caches it.
        connection.wasReset = socket.remoteAddress === undefined;
    });
}
