import { problem, ProblemCode, type Location, type Problem } from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { objectOf, stringOf } from "./checks.js";
import { decodeFrame } from "./codec.js";
import { maxHandshakeBytes, maxNameLength, nonceBytes } from "./constants.js";
import { malformedMessage } from "./messageChecks.js";

/** Identity that one side of a link claims. The proofs cover every field. */
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

/** Reply to a hello, with the proof that the acceptor knows a key. */
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

/** Data covered by both proofs of a handshake. The dialer sends the hello, the acceptor the challenge. */
export interface Transcript {
    readonly dialer: Identity;
    readonly dialerNonce: string;
    readonly acceptor: Identity;
    readonly acceptorNonce: string;
}

/** The proof covers the role, so that a proof reflected to its sender is invalid. */
export const Role = { Dialer: "dialer", Acceptor: "acceptor" } as const;
export type Role = (typeof Role)[keyof typeof Role];

const name = stringOf(maxNameLength);
const kind = stringOf(maxNameLength);
const identity = objectOf<Identity>({ host: name, failureDomain: name, region: name, address: name });

const handshakeChecks = {
    [HandshakeKind.Hello]: objectOf<Hello>({ kind, identity, nonce: name }),
    [HandshakeKind.Challenge]: objectOf<Challenge>({ kind, identity, nonce: name, proof: name }),
    [HandshakeKind.Proof]: objectOf<Proof>({ kind, proof: name }),
} satisfies Record<HandshakeKind, unknown>;

/** Decodes a handshake message of the expected kind; any other kind is a problem. */
export function decodeHandshake<K extends HandshakeKind>(
    frame: Uint8Array,
    expected: K,
): Either<Problem, Extract<HandshakeMessage, { kind: K }>> {
    return decodeFrame(frame, maxHandshakeBytes).chain(value => {
        const fault = handshakeChecks[expected](value);
        const isExpected = fault === undefined && (value as HandshakeMessage).kind === expected;
        return isExpected
            ? Right(value as Extract<HandshakeMessage, { kind: K }>)
            : Left(malformedMessage(fault ?? "unexpected kind of handshake message", expected));
    });
}

export function createNonce(): string {
    return randomBytes(nonceBytes).toString("base64url");
}

/** Keys shared by the daemons; `undefined` when the network is trusted and proofs are not verified. */
export type PeerKeys = readonly string[] | undefined;

/** Creates a proof with the first key, or with an empty one on a trusted network. */
export function createProof(keys: PeerKeys, role: Role, transcript: Transcript): string {
    return computeHmac(keys?.[0] ?? "", role, transcript).toString("base64url");
}

/** Accepts a proof made with any of the keys, so that keys can be rotated. Compares in constant time. */
export function verifyProof(
    keys: PeerKeys,
    role: Role,
    transcript: Transcript,
    proof: string,
): Either<Problem, void> {
    const received = Buffer.from(proof, "base64url");
    if (keys === undefined) {
        return Right(undefined);
    }
    const matchingKeys = keys.filter(key => {
        const expected = computeHmac(key, role, transcript);
        return key !== "" && received.length === expected.length && timingSafeEqual(received, expected);
    });
    return matchingKeys.length > 0
        ? Right(undefined)
        : Left(
              problem(ProblemCode.Unauthorized, "the proof of the peer matches no key of this daemon", {
                  where: "keys.peer",
                  nextStep: "add a common key to keys.peer of both hosts",
              }),
          );
}

function computeHmac(
    key: string,
    role: Role,
    { dialer, dialerNonce, acceptor, acceptorNonce }: Transcript,
): Buffer {
    const fields = [role, dialerNonce, acceptorNonce, identityFields(dialer), identityFields(acceptor)];
    return createHmac("sha256", key).update(JSON.stringify(fields)).digest();
}

function identityFields({ host, failureDomain, region, address }: Identity): string[] {
    return [host, failureDomain, region, address];
}
