import {
    EventLevel,
    isLive,
    MessageKind,
    type Neighbour,
    type PeerMessage,
    type Problem,
} from "@tanagertray/core";
import type { IncomingMessage as UpgradeRequest } from "node:http";
import type { Duplex } from "node:stream";
import { WebSocket, WebSocketServer } from "ws";
import type { Board } from "../../board.js";
import type { Closeable } from "../../closeable.js";
import { encodeFrame } from "./codec.js";
import {
    fewLinks,
    handshakeMs,
    heartbeatMs,
    maxLinks,
    maxMessageBytes,
    maxPendingHandshakes,
    peerPath,
    silenceMs,
    unwantedLinkMs,
    compressedMessageBytes,
    compressionLevel,
} from "./constants.js";
import {
    createContext,
    crossesRegion,
    note,
    writeLinks,
    type Context,
    type PeersOptions,
} from "./context.js";
import { backOff, chooseDials } from "./dialing.js";
import { Role } from "./handshake.js";
import { CloseCode, createLink, LinkPhase, type Link } from "./link.js";
import { replaces } from "./linkTable.js";
import { findStrays } from "./strays.js";
import { createHeartbeat, send, sendFrame, sendOrWait } from "./sending.js";

export type { PeersOptions };

const socketOptions = {
    maxPayload: maxMessageBytes,
    perMessageDeflate: {
        threshold: compressedMessageBytes,
        zlibDeflateOptions: { level: compressionLevel },
        // Large messages are rare, so that no link keeps the memory of a compressor between them.
        serverNoContextTakeover: true,
        clientNoContextTakeover: true,
    },
} as const;
/** Time for the close frames of all links to be answered, in milliseconds. */
const closeMs = 500;

/**
 * Holds the links to other daemons: sends what the outboxes say and writes what arrives.
 *
 * @example
 * ```ts
 * const peers = createPeers(board, { server: await openListener(endpoint, handler) });
 * ```
 */
export function createPeers(board: Board, options: PeersOptions): Closeable {
    const context = createContext(board, options);
    const webSocketServer = new WebSocketServer({ noServer: true, ...socketOptions });
    const upgrade = (request: UpgradeRequest, socket: Duplex, head: Buffer) => {
        const reason = refusalOf(context, request);
        if (reason !== undefined) {
            note(context, "peer.connectionRefused", EventLevel.Warn, undefined, { reason });
            socket.destroy();
            return;
        }
        webSocketServer.handleUpgrade(request, socket, head, connected => {
            addLink(context, connected, Role.Acceptor, undefined);
        });
    };
    options.server.on("upgrade", upgrade);
    const subscriptions = [
        board.observe(["clock"], () => tick(context)),
        ...(["membershipOutbox", "configurationOutbox", "joiningOutbox"] as const).map(feed =>
            board.follow(feed, outgoing => send(context, outgoing)),
        ),
        board.follow("callsOutbox", outgoing => sendOrWait(context, outgoing)),
    ];
    return {
        async close() {
            subscriptions.forEach(subscription => subscription.close());
            options.server.off("upgrade", upgrade);
            context.closing = true;
            await closeLinks(context);
        },
    };
}

/** Why an upgrade request is refused, or `undefined`. */
function refusalOf(context: Context, request: UpgradeRequest): string | undefined {
    if (request.url !== peerPath) {
        return "unknown path";
    }
    if (context.links.size >= maxLinks) {
        return `${maxLinks} links are open`;
    }
    return countPending(context) >= maxPendingHandshakes
        ? `${maxPendingHandshakes} handshakes are in progress`
        : undefined;
}

function countPending({ connections }: Context): number {
    return [...connections].filter(link => link.role === Role.Acceptor && link.phase !== LinkPhase.Open)
        .length;
}

function addLink(context: Context, socket: WebSocket, role: Role, dialed: string | undefined): void {
    const { board, self, keys, traffic } = context;
    const link = createLink({
        socket,
        role,
        ...(dialed === undefined ? {} : { dialed }),
        self,
        keys,
        now: () => board.read("clock").now,
        alreadyDialed: host => [...context.connections].some(other => isDialedTo(other, host)),
        admit: next => admit(context, next),
        deliver: (from, message, bytes) => deliver(context, from, message, bytes),
        refused: (from, fault) => noteRefusal(context, from, fault),
        closed: (closed, before) => forget(context, closed, before),
        countHandshake: (of, frames) =>
            frames.forEach(({ incoming, bytes }) => {
                const count = incoming ? traffic.countIn : traffic.countOut;
                count("handshake", crossesRegion(context, of), bytes);
            }),
    });
    context.connections.add(link);
}

/** Includes a link that the other host is about to admit, because several dials may run at once. */
function isDialedTo({ role, phase, peer }: Link, host: string): boolean {
    const proved = phase === LinkPhase.AwaitingAdmission || phase === LinkPhase.Open;
    return role === Role.Dialer && proved && peer?.host === host;
}

function admit(context: Context, link: Link): boolean {
    const host = link.peer?.host ?? "";
    const open = context.links.get(host);
    if (context.closing || !replaces(link, open, context.self.host)) {
        return false;
    }
    context.links.set(host, link);
    open?.close(CloseCode.Duplicate);
    link.heardAt = context.board.read("clock").now;
    link.openedAt = link.heardAt;
    writeLinks(context);
    note(context, "peer.linked", EventLevel.Info, link, {});
    // The first message tells the dialer that the link is admitted.
    sendFrame(context, link, MessageKind.Heartbeat, encodeFrame(createHeartbeat(context)));
    context.waiting.take(host).forEach(message => send(context, { to: { host }, message }));
    return true;
}

function deliver(context: Context, link: Link, message: PeerMessage, bytes: number): void {
    const host = link.peer?.host ?? "";
    context.traffic.countIn(message.kind, crossesRegion(context, link), bytes);
    context.inbox.append({ from: host, receivedAt: context.board.read("clock").now, message });
}

function forget(context: Context, link: Link, before: LinkPhase): void {
    const { attempts, board, connections, links, random } = context;
    connections.delete(link);
    if (connections.size === 0) {
        context.emptied();
    }
    const host = link.peer?.host ?? "";
    if (links.get(host) === link) {
        links.delete(host);
        writeLinks(context);
        note(context, "peer.unlinked", EventLevel.Info, link, {});
    }
    if (link.dialed !== undefined && attempts.has(link.dialed)) {
        const { now } = board.read("clock");
        const attempt =
            before === LinkPhase.Open
                ? { failures: 0, nextAt: now, inProgress: false }
                : backOff(attempts.get(link.dialed), now, random);
        context.attempts = new Map(attempts).set(link.dialed, attempt);
    }
}

/** Everything that depends on time: deadlines, heartbeats and new connections. */
function tick(context: Context): void {
    const { now, pausedForMs } = context.board.read("clock");
    for (const link of context.connections) {
        if (pausedForMs > heartbeatMs) {
            // Messages that came in during the pause are not read yet.
            link.heardAt = Math.min(now, link.heardAt + pausedForMs);
        }
        closeOverdue(context, link, now);
    }
    if (now - context.heartbeatAt >= heartbeatMs) {
        context.heartbeatAt = now;
        const frame = encodeFrame(createHeartbeat(context));
        context.links.forEach(link => sendFrame(context, link, MessageKind.Heartbeat, frame));
        writeLinks(context);
        context.peerTraffic.write(context.traffic.total());
    }
    for (const host of context.waiting.expire(now)) {
        note(context, "peer.unreachable", EventLevel.Warn, undefined, { to: host });
    }
    dial(context, now);
}

function closeOverdue(context: Context, link: Link, now: number): void {
    if (link.phase !== LinkPhase.Open) {
        if (now - link.startedAt > handshakeMs) {
            note(context, "peer.handshakeTimeout", EventLevel.Warn, link, {});
            link.terminate();
        }
        return;
    }
    if (now - link.heardAt > silenceMs) {
        note(context, "peer.silent", EventLevel.Warn, link, { silentMs: now - link.heardAt });
        link.terminate();
    } else if (isUnwanted(context, link, now)) {
        link.close(CloseCode.Unwanted);
    }
}

/** First links to seeds are given up once this host has its neighbours. */
function isUnwanted({ board, links }: Context, link: Link, now: number): boolean {
    const wanted = board.read("topology").neighbours.some(({ host }) => host === link.peer?.host);
    const old = now - link.openedAt > unwantedLinkMs;
    return link.role === Role.Dialer && old && !wanted && links.size > fewLinks;
}

function dial(context: Context, now: number): void {
    const { attempts, board, links, random, self } = context;
    const listed: ReadonlyMap<string, readonly string[]> = board.read("domainAddresses") ?? new Map();
    const choice = chooseDials({
        neighbours: [...board.read("topology").neighbours, ...waitedFor(context)],
        seeds: [...board.read("settings").peers, ...(listed.get(self.failureDomain) ?? [])],
        strays: findStrays(board.read("membership"), listed, {
            isRelay: board.read("topology").domainRelay,
        }),
        ownAddress: self.address,
        linkedHosts: links,
        // A host may be listed by another address than its own, such as that of an address translation.
        linkedAddresses: new Set(
            [...links.values()].flatMap(link => [link.peer?.address ?? "", link.dialed ?? ""]),
        ),
        attempts,
        now,
        random,
    });
    context.attempts = choice.attempts;
    for (const address of choice.dial) {
        connect(context, address, now);
    }
}

/** Live hosts without a link for which messages wait. */
function waitedFor({ board, waiting }: Context): Neighbour[] {
    const { records } = board.read("membership");
    return waiting.hosts().flatMap(host => {
        const record = records.get(host);
        return record !== undefined && isLive(record) ? [{ host, address: record.peerAddress }] : [];
    });
}

function connect(context: Context, address: string, now: number): void {
    try {
        const url = `ws://${address}${peerPath}`;
        const socket = new WebSocket(url, { ...socketOptions, handshakeTimeout: handshakeMs });
        addLink(context, socket, Role.Dialer, address);
    } catch {
        // The address does not form a URL.
        const attempt = backOff(context.attempts.get(address), now, context.random);
        context.attempts = new Map(context.attempts).set(address, attempt);
    }
}

function noteRefusal(context: Context, link: Link, fault: Problem): void {
    note(context, "peer.refused", EventLevel.Warn, link, {
        code: fault.code,
        message: fault.message,
        where: fault.where,
    });
}

async function closeLinks(context: Context): Promise<void> {
    const { connections } = context;
    connections.forEach(link => link.close(CloseCode.GoingAway));
    if (connections.size > 0) {
        let timer: NodeJS.Timeout | undefined;
        await new Promise<void>(resolve => {
            context.emptied = resolve;
            timer = setTimeout(resolve, closeMs);
        });
        clearTimeout(timer);
    }
    connections.forEach(link => link.terminate());
}
