import type { PeerMessage, Problem } from "@tanagertray/core";
import { Packr } from "msgpackr";
import { Either, Left } from "purify-ts/Either";
import { maxMessageBytes } from "./constants.js";
import { checkMessage, malformed } from "./decoders.js";

/**
 * One packer for all links. Without record extensions it keeps no structures per peer, and copied byte strings
 * do not hold on to the receive buffer.
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

/** Unpacks a frame; what it contains is still to be checked. */
export function decodeFrame(frame: Uint8Array, maxBytes: number): Either<Problem, unknown> {
    if (frame.length > maxBytes) {
        return Left(malformed(`${frame.length} bytes exceed ${maxBytes}`));
    }
    // The library throws on a truncated frame, and a RangeError on deep nesting or a huge declared length.
    // A plain view makes byte strings decode to `Uint8Array` rather than `Buffer`.
    const view = new Uint8Array(frame.buffer, frame.byteOffset, frame.byteLength);
    return Either.encase(() => packr.unpack(view) as unknown).mapLeft(error => malformed(error.message));
}

/**
 * Decodes a message and checks it against its type. Never throws.
 *
 * @example
 * ```ts
 * decodeMessage(frame).caseOf({ Left: refuse, Right: message => inbox.append(message) });
 * ```
 */
export function decodeMessage(frame: Uint8Array): Either<Problem, PeerMessage> {
    return decodeFrame(frame, maxMessageBytes).chain(checkMessage);
}
