import { problem, ProblemCode, type PeerMessage, type Problem } from "@tanagertray/core";
import type { WebSocket } from "ws";
import { decodeMessage, encodeFrame } from "./codec.js";
import { maxBufferedBytes, maxMalformed, maxMessageBytes } from "./constants.js";
import { malformed } from "./decoders.js";
import {
    createNonce,
    decodeHandshake,
    HandshakeKind,
    prove,
    Role,
    verify,
    type HandshakeMessage,
    type PeerKeys,
    type Identity,
    type Transcript,
} from "./handshake.js";

export const LinkPhase = {
    /** The acceptor waits for a hello. */
    AwaitingHello: "awaitingHello",
    /** The dialer waits for the challenge. */
    AwaitingChallenge: "awaitingChallenge",
    /** The acceptor waits for the proof. */
    AwaitingProof: "awaitingProof",
    /** The dialer waits for the first message, by which the acceptor shows that it admitted the link. */
    AwaitingAdmission: "awaitingAdmission",
    Open: "open",
    Closed: "closed",
} as const;
export type LinkPhase = (typeof LinkPhase)[keyof typeof LinkPhase];

/** Close codes of the links; 4000 to 4999 are for private use. */
export const CloseCode = {
    GoingAway: 1001,
    Duplicate: 4001,
    Refused: 4002,
    Unwanted: 4003,
} as const;
export type CloseCode = (typeof CloseCode)[keyof typeof CloseCode];

export interface Link {
    readonly role: Role;
    /** Address that was dialed, for the dialer. */
    readonly dialed: string | undefined;
    readonly startedAt: number;
    phase: LinkPhase;
    openedAt: number;
    heardAt: number;
    /** Known once the other side has sent its identity, trusted once the phase is `open`. */
    peer: Identity | undefined;
    /** Sends an encoded message; closes the link when too many bytes are waiting. */
    send(frame: Buffer): boolean;
    close(code: CloseCode): void;
    terminate(): void;
}

export interface HandshakeFrame {
    readonly incoming: boolean;
    readonly bytes: number;
}

export interface LinkOptions {
    readonly socket: WebSocket;
    readonly role: Role;
    readonly dialed?: string;
    readonly self: Identity;
    readonly keys: PeerKeys;
    readonly now: () => number;
    /** Asked by the dialer before it proves a key: whether it has a proved link to the host that it dialed itself. */
    readonly alreadyDialed: (host: string) => boolean;
    /** Asked once both sides have proved a key. `false` closes the link as a duplicate. */
    readonly admit: (link: Link) => boolean;
    readonly deliver: (link: Link, message: PeerMessage, bytes: number) => void;
    readonly refused: (link: Link, fault: Problem) => void;
    readonly closed: (link: Link, before: LinkPhase) => void;
    /** Told once of each handshake, when it is over and the region of the peer is known if it ever will be. */
    readonly countHandshake: (link: Link, frames: readonly HandshakeFrame[]) => void;
}

interface LinkContext {
    readonly options: LinkOptions;
    readonly link: Link;
    readonly nonce: string;
    /** Frames of the handshake that are not counted yet. */
    readonly frames: HandshakeFrame[];
    transcript: Transcript | undefined;
    malformed: number;
}

/** Error code of the WebSocket library for a message above `maxPayload`. */
const messageTooLargeCode = "WS_ERR_UNSUPPORTED_MESSAGE_LENGTH";

/** Runs the handshake and the decoding of one connection. */
export function createLink(options: LinkOptions): Link {
    const { socket, role, dialed, now } = options;
    const link: Link = {
        role,
        dialed,
        startedAt: now(),
        phase: role === Role.Dialer ? LinkPhase.AwaitingChallenge : LinkPhase.AwaitingHello,
        openedAt: 0,
        heardAt: now(),
        peer: undefined,
        send(frame) {
            if (socket.readyState !== socket.OPEN) {
                return false;
            }
            if (socket.bufferedAmount + frame.length > maxBufferedBytes) {
                options.refused(link, problem(ProblemCode.Overloaded, "the peer reads too slowly"));
                socket.terminate();
                return false;
            }
            socket.send(frame, { binary: true }, () => undefined);
            return true;
        },
        close: code => socket.close(code),
        terminate: () => socket.terminate(),
    };
    const context: LinkContext = {
        options,
        link,
        nonce: createNonce(),
        frames: [],
        transcript: undefined,
        malformed: 0,
    };
    socket.on("open", () => {
        sendHandshake(context, { kind: HandshakeKind.Hello, identity: options.self, nonce: context.nonce });
    });
    socket.on("message", (data: Buffer, isBinary: boolean) => {
        const frame = isBinary && Buffer.isBuffer(data) ? data : Buffer.alloc(0);
        handlers[link.phase](context, frame);
    });
    // Every error is followed by "close", which is where the link is forgotten.
    socket.on("error", (error: NodeJS.ErrnoException) => {
        if (error.code === messageTooLargeCode) {
            options.refused(link, malformed(`a message exceeds ${maxMessageBytes} bytes`));
        }
    });
    socket.on("close", () => {
        const before = link.phase;
        link.phase = LinkPhase.Closed;
        options.countHandshake(link, context.frames.splice(0));
        options.closed(link, before);
    });
    return link;
}

type FrameHandler = (context: LinkContext, frame: Buffer) => void;

const handlers = {
    [LinkPhase.AwaitingHello]: takeHello,
    [LinkPhase.AwaitingChallenge]: takeChallenge,
    [LinkPhase.AwaitingProof]: takeProof,
    [LinkPhase.AwaitingAdmission]: takeMessage,
    [LinkPhase.Open]: takeMessage,
    [LinkPhase.Closed]: () => undefined,
} satisfies Record<LinkPhase, FrameHandler>;

function takeHello(context: LinkContext, frame: Buffer): void {
    const { options, link, nonce } = context;
    context.frames.push({ incoming: true, bytes: frame.length });
    decodeHandshake(frame, HandshakeKind.Hello).caseOf({
        Left: fault => refuse(context, fault),
        Right: hello => {
            link.peer = hello.identity;
            const transcript = {
                dialer: hello.identity,
                dialerNonce: hello.nonce,
                acceptor: options.self,
                acceptorNonce: nonce,
            };
            context.transcript = transcript;
            link.phase = LinkPhase.AwaitingProof;
            const proof = prove(options.keys, Role.Acceptor, transcript);
            sendHandshake(context, { kind: HandshakeKind.Challenge, identity: options.self, nonce, proof });
        },
    });
}

function takeChallenge(context: LinkContext, frame: Buffer): void {
    const { options, link, nonce } = context;
    context.frames.push({ incoming: true, bytes: frame.length });
    decodeHandshake(frame, HandshakeKind.Challenge)
        .chain(challenge => {
            const transcript = {
                dialer: options.self,
                dialerNonce: nonce,
                acceptor: challenge.identity,
                acceptorNonce: challenge.nonce,
            };
            return verify(options.keys, Role.Acceptor, transcript, challenge.proof).map(() => transcript);
        })
        .caseOf({
            Left: fault => refuse(context, fault),
            Right: transcript => {
                link.peer = transcript.acceptor;
                if (options.alreadyDialed(transcript.acceptor.host)) {
                    link.close(CloseCode.Duplicate);
                    return;
                }
                link.phase = LinkPhase.AwaitingAdmission;
                const proof = prove(options.keys, Role.Dialer, transcript);
                sendHandshake(context, { kind: HandshakeKind.Proof, proof });
            },
        });
}

function takeProof(context: LinkContext, frame: Buffer): void {
    const { options, transcript } = context;
    context.frames.push({ incoming: true, bytes: frame.length });
    decodeHandshake(frame, HandshakeKind.Proof)
        .chain(({ proof }) => verify(options.keys, Role.Dialer, transcript as Transcript, proof))
        .caseOf({
            Left: fault => refuse(context, fault),
            Right: () => open(context),
        });
}

function takeMessage(context: LinkContext, frame: Buffer): void {
    const { options, link } = context;
    decodeMessage(frame).caseOf({
        Left: fault => countMalformed(context, fault),
        Right: message => {
            if (link.phase === LinkPhase.AwaitingAdmission) {
                open(context);
            }
            if (link.phase === LinkPhase.Open) {
                link.heardAt = options.now();
                options.deliver(link, message, frame.length);
            }
        },
    });
}

function open({ options, link, frames }: LinkContext): void {
    options.countHandshake(link, frames.splice(0));
    if (link.peer?.host === options.self.host || !options.admit(link)) {
        link.close(CloseCode.Duplicate);
        return;
    }
    link.phase = LinkPhase.Open;
    link.openedAt = options.now();
    link.heardAt = options.now();
}

function countMalformed(context: LinkContext, fault: Problem): void {
    context.malformed += 1;
    context.options.refused(context.link, fault);
    if (context.malformed >= maxMalformed) {
        context.options.refused(context.link, malformed(`closed after ${maxMalformed} of them`));
        context.link.terminate();
    }
}

function refuse({ options, link }: LinkContext, fault: Problem): void {
    options.refused(link, fault);
    link.close(CloseCode.Refused);
    link.phase = LinkPhase.Closed;
}

function sendHandshake({ frames, link }: LinkContext, message: HandshakeMessage): void {
    const frame = encodeFrame(message);
    frames.push({ incoming: false, bytes: frame.length });
    link.send(frame);
}
