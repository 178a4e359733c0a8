import { problem, ProblemCode, type Location, type Problem } from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { shape, text } from "./checks.js";
import { decodeFrame } from "./codec.js";
import { maxHandshakeBytes, maxNameLength, nonceBytes } from "./constants.js";
import { malformed } from "./decoders.js";

/** Who a side of a link says it is. The proof covers every field. */
export interface Identity extends Location {
    readonly address: string;
}

export const HandshakeKind = { Hello: "hello", Challenge: "challenge", Proof: "proof" } as const;
export type HandshakeKind = (typeof HandshakeKind)[keyof typeof HandshakeKind];

export interface Hello {
    readonly kind: typeof HandshakeKind.Hello;
    readonly identity: Identity;
    readonly nonce: string;
}

/** Answers a hello, and proves that the sender knows a key. */
export interface Challenge {
    readonly kind: typeof HandshakeKind.Challenge;
    readonly identity: Identity;
    readonly nonce: string;
    readonly proof: string;
}

export interface Proof {
    readonly kind: typeof HandshakeKind.Proof;
    readonly proof: string;
}

export type HandshakeMessage = Hello | Challenge | Proof;

/** What both proofs of one handshake cover. The dialer sent the hello, the acceptor the challenge. */
export interface Transcript {
    readonly dialer: Identity;
    readonly dialerNonce: string;
    readonly acceptor: Identity;
    readonly acceptorNonce: string;
}

/** The role is part of the proof, so that a proof cannot be sent back to the side that made it. */
export const Role = { Dialer: "dialer", Acceptor: "acceptor" } as const;
export type Role = (typeof Role)[keyof typeof Role];

const name = text(maxNameLength);
const kind = text(maxNameLength);
const identity = shape<Identity>({ host: name, failureDomain: name, region: name, address: name });

const handshakeChecks = {
    [HandshakeKind.Hello]: shape<Hello>({ kind, identity, nonce: name }),
    [HandshakeKind.Challenge]: shape<Challenge>({ kind, identity, nonce: name, proof: name }),
    [HandshakeKind.Proof]: shape<Proof>({ kind, proof: name }),
} satisfies Record<HandshakeKind, unknown>;

/** Decodes the handshake message that is due next; any other is refused. */
export function decodeHandshake<K extends HandshakeKind>(
    frame: Uint8Array,
    expected: K,
): Either<Problem, Extract<HandshakeMessage, { kind: K }>> {
    return decodeFrame(frame, maxHandshakeBytes).chain(value => {
        const fault = handshakeChecks[expected](value);
        const matches = fault === undefined && (value as HandshakeMessage).kind === expected;
        return matches
            ? Right(value as Extract<HandshakeMessage, { kind: K }>)
            : Left(malformed(fault ?? "another kind was due", expected));
    });
}

export function createNonce(): string {
    return randomBytes(nonceBytes).toString("base64url");
}

/** Keys shared by the daemons; `undefined` when the network is trusted and nothing is proved. */
export type PeerKeys = readonly string[] | undefined;

/** Signs with the first key. */
export function prove(keys: PeerKeys, role: Role, transcript: Transcript): string {
    return digest(keys?.[0] ?? "", role, transcript).toString("base64url");
}

/** Accepts a proof by any of the keys, so that keys can be rotated. Compares in constant time. */
export function verify(
    keys: PeerKeys,
    role: Role,
    transcript: Transcript,
    proof: string,
): Either<Problem, void> {
    const given = Buffer.from(proof, "base64url");
    if (keys === undefined) {
        return Right(undefined);
    }
    const matches = keys.filter(key => {
        const expected = digest(key, role, transcript);
        return key !== "" && given.length === expected.length && timingSafeEqual(given, expected);
    });
    return matches.length > 0
        ? Right(undefined)
        : Left(
              problem(ProblemCode.Unauthorized, "the peer does not know a key of this daemon", {
                  where: "keys.peer",
                  nextStep: "give both hosts a common key in keys.peer",
              }),
          );
}

function digest(
    key: string,
    role: Role,
    { dialer, dialerNonce, acceptor, acceptorNonce }: Transcript,
): Buffer {
    const parts = [role, dialerNonce, acceptorNonce, identityParts(dialer), identityParts(acceptor)];
    return createHmac("sha256", key).update(JSON.stringify(parts)).digest();
}

function identityParts({ host, failureDomain, region, address }: Identity): string[] {
    return [host, failureDomain, region, address];
}
