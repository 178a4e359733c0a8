import { problem, ProblemCode, type PeerMessage, type Problem } from "@tanagertray/core";
import { decodeMessage, encodeFrame } from "./codec.js";
import { maxBufferedBytes, maxMalformedMessages, maxMessageBytes } from "./constants.js";
import { malformedMessage } from "./messageChecks.js";
import {
    createNonce,
    createProof,
    decodeHandshake,
    HandshakeKind,
    Role,
    verifyProof,
    type HandshakeMessage,
    type Identity,
    type PeerKeys,
    type Transcript,
} from "./handshake.js";
import type { PeerSocket } from "./transport.js";

export const LinkPhase = {
    /** The acceptor waits for the hello. */
    AwaitingHello: "awaitingHello",
    /** The dialer waits for the challenge. */
    AwaitingChallenge: "awaitingChallenge",
    /** The acceptor waits for the proof. */
    AwaitingProof: "awaitingProof",
    /** The dialer waits for the first message, which shows that the acceptor admitted the link. */
    AwaitingAdmission: "awaitingAdmission",
    Open: "open",
    Closed: "closed",
} as const;
export type LinkPhase = (typeof LinkPhase)[keyof typeof LinkPhase];

/** WebSocket close codes; 4000 to 4999 are reserved for private use. */
export const CloseCode = {
    GoingAway: 1001,
    Duplicate: 4001,
    Refused: 4002,
    NotNeeded: 4003,
} as const;
export type CloseCode = (typeof CloseCode)[keyof typeof CloseCode];

export interface Link {
    readonly role: Role;
    /** Address that this host dialed; `undefined` for an accepted link. */
    readonly dialedAddress: string | undefined;
    phase: LinkPhase;
    openedAt: number;
    /** Time of the last message read, of a handshake or later; before the first one, of the start. */
    heardAt: number;
    /** Whether `heardAt` allows for a pause of this process since the last message. */
    allowsForPause: boolean;
    /** Bytes read by the last tick of the clock. */
    readBytes: number;
    /** Set once the other side has sent its identity; verified once the phase is `open`. */
    peer: Identity | undefined;
    /** Records a sign of life of the other side. */
    hear(at: number): void;
    /** Bytes read so far, which include those of messages that have not arrived in full. */
    receivedBytes(): number;
    /** Sends an encoded message. Closes the link and returns `false` when too many bytes are unsent. */
    send(frame: Buffer): boolean;
    close(code: CloseCode): void;
    terminate(): void;
}

export interface HandshakeFrame {
    readonly incoming: boolean;
    readonly bytes: number;
}

export interface LinkOptions {
    readonly socket: PeerSocket;
    readonly role: Role;
    readonly dialedAddress?: string;
    readonly self: Identity;
    readonly keys: PeerKeys;
    readonly now: () => number;
    /** Whether this host already dialed an authenticated link to `host`. Checked by the dialer before it sends its proof. */
    readonly hasDialedLinkTo: (host: string) => boolean;
    /** Called once both sides are authenticated. `false` closes the link as a duplicate. */
    readonly admit: (link: Link) => boolean;
    readonly onMessage: (link: Link, message: PeerMessage, bytes: number) => void;
    /** Called for a refused handshake, a malformed message and a peer that reads too slowly. */
    readonly onProblem: (link: Link, fault: Problem) => void;
    readonly onClose: (link: Link, lastPhase: LinkPhase) => void;
    /** Called once at the end of the handshake, when the region of the peer is known unless the handshake failed early. */
    readonly onHandshakeEnd: (link: Link, frames: readonly HandshakeFrame[]) => void;
}

interface LinkContext {
    readonly options: LinkOptions;
    readonly link: Link;
    readonly nonce: string;
    /** Handshake frames not yet reported to `onHandshakeEnd`. */
    readonly uncountedFrames: HandshakeFrame[];
    transcript: Transcript | undefined;
    malformedCount: number;
}

/** Performs the handshake of one connection and decodes the messages received on it. */
export function createLink(options: LinkOptions): Link {
    const { socket, role, dialedAddress, now } = options;
    const link: Link = {
        role,
        dialedAddress,
        phase: role === Role.Dialer ? LinkPhase.AwaitingChallenge : LinkPhase.AwaitingHello,
        openedAt: 0,
        heardAt: now(),
        allowsForPause: false,
        readBytes: 0,
        peer: undefined,
        hear(at) {
            link.heardAt = Math.max(link.heardAt, at);
            link.allowsForPause = false;
        },
        receivedBytes: () => socket.receivedBytes(),
        send(frame) {
            if (!socket.isOpen()) {
                return false;
            }
            if (socket.bufferedBytes() + frame.length > maxBufferedBytes) {
                options.onProblem(
                    link,
                    problem(ProblemCode.Overloaded, "too many unsent bytes: the peer reads too slowly"),
                );
                socket.terminate();
                return false;
            }
            socket.send(frame);
            return true;
        },
        close: code => socket.close(code),
        terminate: () => socket.terminate(),
    };
    const context: LinkContext = {
        options,
        link,
        nonce: createNonce(),
        uncountedFrames: [],
        transcript: undefined,
        malformedCount: 0,
    };
    socket.listen({
        onOpen() {
            link.hear(now());
            sendHandshake(context, {
                kind: HandshakeKind.Hello,
                identity: options.self,
                nonce: context.nonce,
            });
        },
        onFrame(frame) {
            link.hear(now());
            frameHandlers[link.phase](context, frame);
        },
        onTooLarge: () =>
            options.onProblem(link, malformedMessage(`message is larger than ${maxMessageBytes} bytes`)),
        onClose() {
            const lastPhase = link.phase;
            link.phase = LinkPhase.Closed;
            options.onHandshakeEnd(link, context.uncountedFrames.splice(0));
            options.onClose(link, lastPhase);
        },
    });
    return link;
}

type FrameHandler = (context: LinkContext, frame: Buffer) => void;

const frameHandlers = {
    [LinkPhase.AwaitingHello]: handleHello,
    [LinkPhase.AwaitingChallenge]: handleChallenge,
    [LinkPhase.AwaitingProof]: handleProof,
    [LinkPhase.AwaitingAdmission]: handleMessage,
    [LinkPhase.Open]: handleMessage,
    [LinkPhase.Closed]: () => undefined,
} satisfies Record<LinkPhase, FrameHandler>;

function handleHello(context: LinkContext, frame: Buffer): void {
    const { options, link, nonce } = context;
    context.uncountedFrames.push({ incoming: true, bytes: frame.length });
    decodeHandshake(frame, HandshakeKind.Hello).caseOf({
        Left: fault => refuseHandshake(context, fault),
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
            const proof = createProof(options.keys, Role.Acceptor, transcript);
            sendHandshake(context, { kind: HandshakeKind.Challenge, identity: options.self, nonce, proof });
        },
    });
}

function handleChallenge(context: LinkContext, frame: Buffer): void {
    const { options, link, nonce } = context;
    context.uncountedFrames.push({ incoming: true, bytes: frame.length });
    decodeHandshake(frame, HandshakeKind.Challenge)
        .chain(challenge => {
            const transcript = {
                dialer: options.self,
                dialerNonce: nonce,
                acceptor: challenge.identity,
                acceptorNonce: challenge.nonce,
            };
            return verifyProof(options.keys, Role.Acceptor, transcript, challenge.proof).map(
                () => transcript,
            );
        })
        .caseOf({
            Left: fault => refuseHandshake(context, fault),
            Right: transcript => {
                link.peer = transcript.acceptor;
                if (options.hasDialedLinkTo(transcript.acceptor.host)) {
                    link.close(CloseCode.Duplicate);
                    return;
                }
                link.phase = LinkPhase.AwaitingAdmission;
                const proof = createProof(options.keys, Role.Dialer, transcript);
                sendHandshake(context, { kind: HandshakeKind.Proof, proof });
            },
        });
}

function handleProof(context: LinkContext, frame: Buffer): void {
    const { options, transcript } = context;
    context.uncountedFrames.push({ incoming: true, bytes: frame.length });
    decodeHandshake(frame, HandshakeKind.Proof)
        .chain(({ proof }) => verifyProof(options.keys, Role.Dialer, transcript as Transcript, proof))
        .caseOf({
            Left: fault => refuseHandshake(context, fault),
            Right: () => openLink(context),
        });
}

function handleMessage(context: LinkContext, frame: Buffer): void {
    const { options, link } = context;
    decodeMessage(frame).caseOf({
        Left: fault => handleMalformed(context, fault),
        Right: message => {
            if (link.phase === LinkPhase.AwaitingAdmission) {
                openLink(context);
            }
            if (link.phase === LinkPhase.Open) {
                options.onMessage(link, message, frame.length);
            }
        },
    });
}

function openLink({ options, link, uncountedFrames }: LinkContext): void {
    options.onHandshakeEnd(link, uncountedFrames.splice(0));
    if (link.peer?.host === options.self.host || !options.admit(link)) {
        link.close(CloseCode.Duplicate);
        return;
    }
    link.phase = LinkPhase.Open;
    link.openedAt = options.now();
}

function handleMalformed(context: LinkContext, fault: Problem): void {
    context.malformedCount += 1;
    context.options.onProblem(context.link, fault);
    if (context.malformedCount >= maxMalformedMessages) {
        context.options.onProblem(
            context.link,
            malformedMessage(`link closed after ${maxMalformedMessages} malformed messages`),
        );
        context.link.terminate();
    }
}

function refuseHandshake({ options, link }: LinkContext, fault: Problem): void {
    options.onProblem(link, fault);
    link.close(CloseCode.Refused);
    link.phase = LinkPhase.Closed;
}

function sendHandshake({ uncountedFrames, link }: LinkContext, message: HandshakeMessage): void {
    const frame = encodeFrame(message);
    uncountedFrames.push({ incoming: false, bytes: frame.length });
    link.send(frame);
}
