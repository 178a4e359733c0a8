import { buildConnector, Client, type Dispatcher } from "undici";
import type { Socket } from "node:net";
import { connectTimeoutMs, maxExchangesPerConnection, poolIdleTimeoutMs } from "./constants.js";
import { waitForPendingEvents } from "./pendingEvents.js";

/** One connection to a backend server or another daemon. */
export interface Connection {
    /** Exchanges begun on it. */
    exchanges: number;
    /** Ids of these exchanges. A response names its exchange by the id, so none may be carried twice. */
    readonly ids: Set<string>;
    /** Bytes received at the end of the last exchange; later ones belong to no exchange. */
    receivedAtEnd: number;
    /** Follows the bytes of the exchange in progress. */
    onReadable: (() => void) | undefined;
    /** Resumes the exchange in progress while it waits for a slow reader. */
    resume: (() => void) | undefined;
    /** Whether it ended by a reset. */
    isCut: boolean;
    /** Bytes received, parsed or not. */
    received(): number;
    /** Ends it once its exchange is over. */
    discard(): void;
}

/** Options of a dispatch that learns on which connection it is carried. */
export interface TracedDispatch extends Dispatcher.DispatchOptions {
    /** Called before the first byte is written; what it returns is asked then. */
    traceConnection(current: () => Connection | undefined): void;
}

/** Whether a response on the connection can be told to belong to an exchange with this id. */
export function mayCarry(
    { exchanges, ids, received, receivedAtEnd }: Connection,
    id: string | undefined,
): boolean {
    const isQuiet = received() === receivedAtEnd;
    return isQuiet && (exchanges === 0 || (id !== undefined && !ids.has(id)));
}

/** Code by which the client library knows an error of the connection alone, after which others carry on. */
const connectionErrorCode = "UND_ERR_SOCKET";

/** A client for one connection at a time, with a record of what that connection carried. */
export function createTracedClient(origin: string | URL): Client {
    let current: Connection | undefined;
    const connect = buildConnector({ timeout: connectTimeoutMs });
    const client = new Client(origin, {
        pipelining: 1,
        keepAliveTimeout: poolIdleTimeoutMs,
        keepAliveMaxTimeout: poolIdleTimeoutMs,
        maxRequestsPerClient: maxExchangesPerConnection,
        connect(options, callback) {
            connect(options, (...result) => {
                const [error, socket] = result;
                current = error === null ? traceConnection(socket) : undefined;
                // The requests that wait for the connection are written in the callback.
                void waitForPendingEvents().then(() => callback(...result));
            });
        },
    });
    const dispatch = client.dispatch.bind(client);
    client.dispatch = (options, handler) => {
        (options as Partial<TracedDispatch>).traceConnection?.(() => current);
        return dispatch(options, handler);
    };
    return client;
}

function traceConnection(socket: Socket): Connection {
    const connection: Connection = {
        exchanges: 0,
        ids: new Set(),
        receivedAtEnd: 0,
        onReadable: undefined,
        resume: undefined,
        isCut: false,
        received: () => socket.bytesRead,
        discard: () => void socket.destroy(),
    };
    guardEnd(socket, connection);
    socket.on("readable", () => {
        if (connection.onReadable !== undefined) {
            connection.onReadable();
        } else if (socket.bytesRead > connection.receivedAtEnd && !socket.destroyed) {
            socket.destroy();
        }
    });
    return connection;
}

/**
 * Corrects what the client library makes of the end of a connection. It takes a reset for the end of a response
 * without a length, and it throws where the connection ends while its parser is paused.
 */
function guardEnd(socket: Socket, connection: Connection): void {
    socket.prependListener("error", (error: NodeJS.ErrnoException) => {
        if (error.code === "ECONNRESET") {
            error.code = connectionErrorCode;
        }
    });
    socket.prependListener("end", () => {
        connection.resume?.();
        // The event loop reports a reset that comes together with data as an end. Only a connection that was not reset
        // still has a peer; the name is not asked for before, because the socket keeps it.
        connection.isCut = socket.remoteAddress === undefined;
    });
}
