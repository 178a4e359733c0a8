import { EventLevel, MessageKind, type OutgoingMessage, type PeerMessage } from "@tanagertray/core";
import { encodeFrame } from "./codec.js";
import { maxMessageBytes } from "./constants.js";
import { appendEvent, crossesRegion, type Context } from "./context.js";
import type { Link } from "./link.js";

/**
 * Sends a message, or queues it until a link to its host opens. Requests for the fate of a call go to the host that
 * received the call, which may not be a neighbour.
 */
export function sendOrQueue(context: Context, outgoing: OutgoingMessage): void {
    const { board, links, pendingMessages } = context;
    const { to, message } = outgoing;
    if (!("host" in to) || links.has(to.host)) {
        send(context, outgoing);
    } else if (!pendingMessages.add(to.host, message, board.read("clock").now)) {
        appendEvent(context, "peer.unreachable", EventLevel.Warn, undefined, { to: to.host });
    }
}

/** Encodes a message once and sends it on the open links to its targets. */
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
        appendEvent(context, "peer.messageTooLarge", EventLevel.Error, undefined, {
            kind: message.kind,
            bytes: frame.length,
        });
        return;
    }
    targets.forEach(link => sendFrame(context, link, message.kind, frame));
}

export function sendFrame(context: Context, link: Link, kind: MessageKind, frame: Buffer): void {
    if (link.send(frame)) {
        context.traffic.countSent(kind, crossesRegion(context, link), frame.length);
    }
}

export function createHeartbeat({ board }: Context): PeerMessage {
    const configuration = board.read("configuration").held;
    return {
        kind: MessageKind.Heartbeat,
        version: configuration?.manifest.version ?? 0,
        manifestHash: configuration?.manifestHash ?? "",
    };
}
