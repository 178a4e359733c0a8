import type { Location } from "@tanagertray/core";
import { compressionLevel, compressionThresholdBytes } from "@tanagertray/daemon/adapters/peers/constants";
import type {
    PeerAcceptance,
    PeerSocket,
    PeerSocketHandlers,
    PeerTransport,
} from "@tanagertray/daemon/adapters/peers/transport";
import { deflateRawSync } from "node:zlib";
import type { EventQueue } from "./eventQueue.js";
import type { Network } from "./network.js";

/** Bytes of the packets that open a connection and upgrade it, in each direction. */
const openingBytes = 300;

/** Connections between the daemons of an emulated fleet, in virtual time. */
export interface EmulatedConnections {
    /** Creates the transport of one daemon, which listens at the address. */
    createTransport(location: Location, address: string): PeerTransport;
    /**
     * Ends all connections of the address and stops listening, as when its process is killed. After a loss of power, the
     * other ends learn of it only from the silence.
     */
    drop(address: string, options?: { readonly isSilent?: boolean }): void;
}

export interface EmulatedConnectionsOptions {
    readonly queue: EventQueue;
    readonly network: Network;
    /**
     * Whether packets from one host reach the other. Those that do not are lost, and the connections stay open.
     * @default () => true
     */
    readonly isReachable?: (from: Location, to: Location) => boolean;
    /**
     * Time at which a host reads a packet that arrives at the given time.
     * @default the time of arrival
     */
    readonly readAt?: (to: Location, arrivesAt: number) => number;
}

interface End {
    readonly location: Location;
    readonly address: string;
    handlers: PeerSocketHandlers | undefined;
    isOpen: boolean;
    receivedBytes: number;
    /** Tells the other end that this one has closed. */
    notifyClosed: () => void;
}

/**
 * Creates the connections of an emulated fleet.
 *
 * @example
 * ```ts
 * const connections = createEmulatedConnections({ queue, network });
 * const peers = createPeers(board, { transport: connections.createTransport(location, "10.0.0.1:7001") });
 * ```
 */
export function createEmulatedConnections(options: EmulatedConnectionsOptions): EmulatedConnections {
    const { queue, network, isReachable = () => true, readAt = (_to, arrivesAt) => arrivesAt } = options;
    const listeners = new Map<string, { readonly location: Location; readonly acceptance: PeerAcceptance }>();
    const endsByAddress = new Map<string, Set<End>>();
    const sizeOf = createSizes();

    function createEnd(location: Location, address: string, isOpen: boolean): End {
        const end: End = {
            location,
            address,
            handlers: undefined,
            isOpen,
            receivedBytes: 0,
            notifyClosed: () => undefined,
        };
        const ends = endsByAddress.get(address) ?? new Set();
        endsByAddress.set(address, ends.add(end));
        return end;
    }

    /** Runs the callback when a packet of the size is read, unless it is lost. */
    function deliver(from: End, to: Location, bytes: number, run: () => void): void {
        if (isReachable(from.location, to)) {
            queue.schedule(readAt(to, network.arrival(from.location, to, bytes, queue.now())), run);
        }
    }

    function closeEnd(end: End): void {
        if (endsByAddress.get(end.address)?.delete(end) === true) {
            end.isOpen = false;
            end.handlers?.onClose();
        }
    }

    function createSocket(own: End, other: End): PeerSocket {
        own.notifyClosed = () => deliver(own, other.location, 0, () => closeEnd(other));
        const close = () => {
            if (own.isOpen) {
                own.isOpen = false;
                own.notifyClosed();
                queue.schedule(queue.now(), () => closeEnd(own));
            }
        };
        return {
            listen: handlers => (own.handlers = handlers),
            isOpen: () => own.isOpen,
            bufferedBytes: () => 0,
            receivedBytes: () => own.receivedBytes,
            send: frame =>
                deliver(own, other.location, sizeOf(frame), () => {
                    if (other.isOpen) {
                        other.receivedBytes += frame.length;
                        other.handlers?.onFrame(frame);
                    }
                }),
            close,
            terminate: close,
        };
    }

    function dial(dialer: End, address: string, path: string): PeerSocket {
        const target = listeners.get(address);
        const acceptor = createEnd(target?.location ?? dialer.location, address, false);
        const socket = createSocket(dialer, acceptor);
        deliver(dialer, acceptor.location, openingBytes, () => {
            const listener = listeners.get(address);
            const reason = listener === undefined ? "not listening" : listener.acceptance.refusalReason(path);
            if (listener === undefined || reason !== undefined) {
                listener?.acceptance.onRefused(reason ?? "");
                return deliver(acceptor, dialer.location, 0, () => closeEnd(dialer));
            }
            acceptor.isOpen = true;
            listener.acceptance.onAccepted(createSocket(acceptor, dialer));
            deliver(acceptor, dialer.location, openingBytes, () => {
                if (endsByAddress.get(dialer.address)?.has(dialer) === true) {
                    dialer.isOpen = true;
                    dialer.handlers?.onOpen();
                }
            });
        });
        return { ...socket, terminate: () => closeEnd(dialer) };
    }

    return {
        createTransport: (location, address) => ({
            dial: (to, path) => dial(createEnd(location, address, false), to, path),
            accept(acceptance) {
                listeners.set(address, { location, acceptance });
                return { close: () => void listeners.delete(address) };
            },
        }),
        drop(address, { isSilent = false } = {}) {
            listeners.delete(address);
            for (const end of endsByAddress.get(address) ?? []) {
                end.handlers = undefined;
                if (end.isOpen && !isSilent) {
                    end.notifyClosed();
                }
                end.isOpen = false;
            }
            endsByAddress.delete(address);
        },
    };
}

/** Creates a function that returns the bytes of a frame on the wire. Large ones are compressed, as by the real transport. */
function createSizes(): (frame: Buffer) => number {
    const sizes = new WeakMap<Buffer, number>();
    return frame => {
        const known = sizes.get(frame);
        if (known !== undefined || frame.length < compressionThresholdBytes) {
            return known ?? frame.length;
        }
        const size = deflateRawSync(frame, { level: compressionLevel }).length;
        sizes.set(frame, size);
        return size;
    };
}
