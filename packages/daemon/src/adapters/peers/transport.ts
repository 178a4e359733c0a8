import type { Closeable } from "../../closeable.js";

/** Events of one connection to another daemon. */
export interface PeerSocketHandlers {
    /** The connection that this daemon dialed is open. An accepted connection is open from the start. */
    readonly onOpen: () => void;
    readonly onFrame: (frame: Buffer) => void;
    /** The other side sent a message above `maxMessageBytes`; `onClose` follows. */
    readonly onTooLarge: () => void;
    /** Called once, also after an error. */
    readonly onClose: () => void;
}

/** One connection to another daemon that carries binary messages. */
export interface PeerSocket {
    /** Registers the handlers. Called once, before the first event. */
    listen(handlers: PeerSocketHandlers): void;
    isOpen(): boolean;
    /** Bytes that were sent but not yet written to the network. */
    bufferedBytes(): number;
    /** Bytes read from the network so far, which include those of messages that have not arrived in full. */
    receivedBytes(): number;
    send(frame: Buffer): void;
    /** Closes the connection with a code, after the frames that were sent. */
    close(code: number): void;
    /** Closes the connection at once. */
    terminate(): void;
}

export interface PeerAcceptance {
    /** Returns the reason to refuse a connection to the path, or `undefined` to accept it. */
    readonly refusalReason: (path: string | undefined) => string | undefined;
    readonly onRefused: (reason: string) => void;
    readonly onAccepted: (socket: PeerSocket) => void;
}

/** Opens and accepts the connections of the peer adapter. */
export interface PeerTransport {
    /**
     * Starts to open a connection to the path of another daemon.
     *
     * @throws if the address is not valid
     */
    dial(address: string, path: string): PeerSocket;
    /** Accepts connections of other daemons until it is closed. */
    accept(acceptance: PeerAcceptance): Closeable;
}
