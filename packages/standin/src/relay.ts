import { createBlackboard, type Value } from "@tanagertray/core";
import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { passBytes, type Direction } from "./relay/direction.js";

export const NewConnections = {
    /** Pass bytes as usual. */
    Pass: "pass",
    /** Accept and pass no byte. */
    Silent: "silent",
    /** Reset at once. */
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
    /** Bytes from the side that connects to the relay. */
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
     * Keeps open connections without passing a byte, in both directions or only in the given one; new ones
     * pass unless the option says otherwise.
     */
    silence(options?: { newConnections?: NewConnections; direction?: RelayDirection }): void;
    /** Holds every chunk for this many milliseconds. */
    delay(ms: number): void;
    /** Ends every fault. Bytes held by a silence are passed on. */
    restore(): void;
    counters(): RelayCounters;
    close(): Promise<void>;
}

interface Sections {
    mode: Value<{ readonly newConnections: NewConnections; readonly delayMs: number }>;
    counters: Value<RelayCounters>;
}

interface Pair {
    readonly near: Socket;
    readonly far: Socket;
    readonly directions: Readonly<Record<RelayDirection, Direction>>;
}

/**
 * Starts a TCP relay that can cut, silence and delay its connections.
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
    const pairs = new Set<Pair>();
    const count = (name: keyof RelayCounters, amount: number) =>
        counters.update(before => ({ ...before, [name]: before[name] + amount }));
    const delayMs = () => board.read("mode").delayMs;

    const openers: Readonly<Record<NewConnections, (near: Socket) => void>> = {
        [NewConnections.Pass]: near => void openPair(near),
        [NewConnections.Silent]: near => silencePair(openPair(near)),
        [NewConnections.Refuse]: near => near.resetAndDestroy(),
    };

    function openPair(near: Socket): Pair {
        const colon = options.target.lastIndexOf(":");
        const host = options.target.slice(0, colon);
        const far = connect({ host, port: Number(options.target.slice(colon + 1)), allowHalfOpen: true });
        far.setNoDelay(true);
        const directions = {
            [RelayDirection.ToTarget]: passBytes(near, far, delayMs, bytes => count("bytesToTarget", bytes)),
            [RelayDirection.FromTarget]: passBytes(far, near, delayMs, bytes =>
                count("bytesFromTarget", bytes),
            ),
        };
        const pair = { near, far, directions };
        pairs.add(pair);
        count("connections", 1);
        count("openConnections", 1);
        near.once("close", () => {
            pairs.delete(pair);
            count("openConnections", -1);
        });
        return pair;
    }

    const server = createServer({ allowHalfOpen: true }, near => {
        near.setNoDelay(true);
        openers[board.read("mode").newConnections](near);
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(options.port ?? 0, "127.0.0.1", resolve);
    });
    const reset = () => pairs.forEach(({ near, far }) => [near, far].forEach(end => end.resetAndDestroy()));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        cut() {
            mode.update(before => ({ ...before, newConnections: NewConnections.Refuse }));
            reset();
        },
        silence({ newConnections = NewConnections.Pass, direction } = {}) {
            mode.update(before => ({ ...before, newConnections }));
            pairs.forEach(pair => silencePair(pair, direction));
        },
        delay: ms => mode.update(before => ({ ...before, delayMs: ms })),
        restore() {
            mode.write({ newConnections: NewConnections.Pass, delayMs: 0 });
            pairs.forEach(pair => Object.values(pair.directions).forEach(direction => direction.resume()));
        },
        counters: () => board.read("counters"),
        close() {
            reset();
            return new Promise(resolve => server.close(() => resolve()));
        },
    };
}

function silencePair({ directions }: Pair, only?: RelayDirection): void {
    (only === undefined ? Object.values(directions) : [directions[only]]).forEach(direction =>
        direction.silence(),
    );
}
