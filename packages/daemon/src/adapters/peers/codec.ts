import type { PeerMessage, Problem } from "@tanagertray/core";
import { Packr } from "msgpackr";
import { Either, Left } from "purify-ts/Either";
import { maxMessageBytes } from "./constants.js";
import { checkMessage, malformedMessage } from "./messageChecks.js";

/**
 * Shared by all links: without record extensions the packer keeps no state per peer. Byte strings are copied so that they
 * do not keep the receive buffer in memory.
 */
const packr = new Packr({
    useRecords: false,
    mapsAsObjects: true,
    copyBuffers: true,
    encodeUndefinedAsNil: false,
    int64AsType: "number",
});

export function encodeFrame(value: object): Buffer {
    return packr.pack(value);
}

/** Unpacks a frame without checking the decoded value. */
export function decodeFrame(frame: Uint8Array, maxBytes: number): Either<Problem, unknown> {
    if (frame.length > maxBytes) {
        return Left(malformedMessage(`${frame.length} bytes exceed the limit of ${maxBytes}`));
    }
    // The library throws on a truncated frame, and throws a RangeError on deep nesting or a huge declared length.
    // Unpacking from a plain Uint8Array makes byte strings decode to `Uint8Array` instead of `Buffer`.
    const view = new Uint8Array(frame.buffer, frame.byteOffset, frame.byteLength);
    return Either.encase(() => packr.unpack(view) as unknown).mapLeft(error =>
        malformedMessage(error.message),
    );
}

/**
 * Decodes a message and checks it against its type. Never throws.
 *
 * @example
 * ```ts
 * decodeMessage(frame).caseOf({ Left: reportProblem, Right: message => inbox.append(message) });
 * ```
 */
export function decodeMessage(frame: Uint8Array): Either<Problem, PeerMessage> {
    return decodeFrame(frame, maxMessageBytes).chain(checkMessage);
}
