import { EventLevel, MessageKind, type OutgoingMessage, type PeerMessage } from "@tanagertray/core";
import { encodeFrame } from "./codec.js";
import { maxMessageBytes } from "./constants.js";
import { crossesRegion, note, type Context } from "./context.js";
import type { Link } from "./link.js";

/** The fate of a call is asked of the host that got the call, which need not be a neighbour. */
export function sendOrWait(context: Context, outgoing: OutgoingMessage): void {
    const { board, links, waiting } = context;
    const { to, message } = outgoing;
    if (!("host" in to) || links.has(to.host)) {
        send(context, outgoing);
    } else if (!waiting.add(to.host, message, board.read("clock").now)) {
        note(context, "peer.unreachable", EventLevel.Warn, undefined, { to: to.host });
    }
}

/** Encodes a message once and sends it to every target that is linked. */
export function send(context: Context, { to, message }: OutgoingMessage): void {
    const targets =
        "host" in to
            ? [context.links.get(to.host)].filter(link => link !== undefined)
            : [...context.links].filter(([host]) => !to.allBut.includes(host)).map(([, link]) => link);
    if (targets.length === 0) {
        return;
    }
    const frame = encodeFrame(message);
    if (frame.length > maxMessageBytes) {
        note(context, "peer.messageTooLarge", EventLevel.Error, undefined, {
            kind: message.kind,
            bytes: frame.length,
        });
        return;
    }
    targets.forEach(link => sendFrame(context, link, message.kind, frame));
}

export function sendFrame(context: Context, link: Link, kind: MessageKind, frame: Buffer): void {
    if (link.send(frame)) {
        context.traffic.countOut(kind, crossesRegion(context, link), frame.length);
    }
}

export function createHeartbeat({ board }: Context): PeerMessage {
    const held = board.read("configuration").held;
    return {
        kind: MessageKind.Heartbeat,
        version: held?.manifest.version ?? 0,
        manifestHash: held?.manifestHash ?? "",
    };
}
