import { createBlackboard, type Value } from "@tanagertray/core";
import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { relayBytes, type Direction } from "./relay/direction.js";

export const NewConnections = {
    /** Forward bytes as usual. */
    Pass: "pass",
    /** Accept the connection but forward nothing. */
    Silent: "silent",
    /** Reset the connection immediately. */
    Refuse: "refuse",
} as const;
export type NewConnections = (typeof NewConnections)[keyof typeof NewConnections];

export const RelayDirection = { ToTarget: "toTarget", FromTarget: "fromTarget" } as const;
export type RelayDirection = (typeof RelayDirection)[keyof typeof RelayDirection];

export interface RelayOptions {
    /** `address:port` to connect to. */
    target: string;
    /** @default 0, a free port */
    port?: number;
}

export interface RelayCounters {
    /** Bytes received from the clients of the relay. */
    bytesToTarget: number;
    bytesFromTarget: number;
    connections: number;
    openConnections: number;
}

export interface Relay {
    /** `address:port` */
    readonly address: string;
    /** Resets open connections and refuses new ones. */
    cut(): void;
    /**
     * Keeps open connections but forwards nothing, in both directions or only in the given one. New connections
     * work as usual unless `newConnections` is set.
     */
    silence(options?: { newConnections?: NewConnections; direction?: RelayDirection }): void;
    /** Delays every chunk by this many milliseconds. */
    delay(ms: number): void;
    /** Ends every fault. Bytes that were held back by `silence` are forwarded. */
    restore(): void;
    counters(): RelayCounters;
    close(): Promise<void>;
}

interface Sections {
    mode: Value<{ readonly newConnections: NewConnections; readonly delayMs: number }>;
    counters: Value<RelayCounters>;
}

interface RelayedConnection {
    readonly client: Socket;
    readonly upstream: Socket;
    readonly directions: Readonly<Record<RelayDirection, Direction>>;
}

/**
 * Starts a TCP relay that can reset, silence and delay its connections.
 *
 * @example
 * ```ts
 * const relay = await startRelay({ target: "127.0.0.1:9000" });
 * relay.silence({ newConnections: NewConnections.Pass });
 * ```
 */
export async function startRelay(options: RelayOptions): Promise<Relay> {
    const board = createBlackboard<Sections>({
        values: {
            mode: { newConnections: NewConnections.Pass, delayMs: 0 },
            counters: { bytesToTarget: 0, bytesFromTarget: 0, connections: 0, openConnections: 0 },
        },
        feeds: {},
    });
    const mode = board.claimValue("mode");
    const counters = board.claimValue("counters");
    const connections = new Set<RelayedConnection>();
    const count = (name: keyof RelayCounters, amount: number) =>
        counters.update(previous => ({ ...previous, [name]: previous[name] + amount }));
    const delayMs = () => board.read("mode").delayMs;

    const connectionHandlers: Readonly<Record<NewConnections, (client: Socket) => void>> = {
        [NewConnections.Pass]: client => void openConnection(client),
        [NewConnections.Silent]: client => silenceConnection(openConnection(client)),
        [NewConnections.Refuse]: client => client.resetAndDestroy(),
    };

    function openConnection(client: Socket): RelayedConnection {
        const colon = options.target.lastIndexOf(":");
        const host = options.target.slice(0, colon);
        const upstream = connect({
            host,
            port: Number(options.target.slice(colon + 1)),
            allowHalfOpen: true,
        });
        upstream.setNoDelay(true);
        const directions = {
            [RelayDirection.ToTarget]: relayBytes(client, upstream, delayMs, bytes =>
                count("bytesToTarget", bytes),
            ),
            [RelayDirection.FromTarget]: relayBytes(upstream, client, delayMs, bytes =>
                count("bytesFromTarget", bytes),
            ),
        };
        const connection = { client, upstream, directions };
        connections.add(connection);
        count("connections", 1);
        count("openConnections", 1);
        client.once("close", () => {
            connections.delete(connection);
            count("openConnections", -1);
        });
        return connection;
    }

    const server = createServer({ allowHalfOpen: true }, client => {
        client.setNoDelay(true);
        connectionHandlers[board.read("mode").newConnections](client);
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(options.port ?? 0, "127.0.0.1", resolve);
    });
    const resetAll = () =>
        connections.forEach(({ client, upstream }) =>
            [client, upstream].forEach(socket => socket.resetAndDestroy()),
        );
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        cut() {
            mode.update(previous => ({ ...previous, newConnections: NewConnections.Refuse }));
            resetAll();
        },
        silence({ newConnections = NewConnections.Pass, direction } = {}) {
            mode.update(previous => ({ ...previous, newConnections }));
            connections.forEach(connection => silenceConnection(connection, direction));
        },
        delay: ms => mode.update(previous => ({ ...previous, delayMs: ms })),
        restore() {
            mode.write({ newConnections: NewConnections.Pass, delayMs: 0 });
            connections.forEach(connection =>
                Object.values(connection.directions).forEach(direction => direction.resume()),
            );
        },
        counters: () => board.read("counters"),
        close() {
            resetAll();
            return new Promise(resolve => server.close(() => resolve()));
        },
    };
}

function silenceConnection({ directions }: RelayedConnection, only?: RelayDirection): void {
    (only === undefined ? Object.values(directions) : [directions[only]]).forEach(direction =>
        direction.silence(),
    );
}
