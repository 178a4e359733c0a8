import {
    EventLevel,
    isLive,
    MessageKind,
    type Neighbour,
    type PeerMessage,
    type Problem,
} from "@tanagertray/core";
import type { Board, ClockState } from "../../board.js";
import type { Closeable } from "../../closeable.js";
import { findCandidateAddresses } from "./candidateAddresses.js";
import { encodeFrame } from "./codec.js";
import {
    dialTimeoutMs,
    handshakeTimeoutMs,
    heartbeatIntervalMs,
    heartbeatTimeoutMs,
    maxLinks,
    maxPendingHandshakes,
    minLinks,
    nonNeighbourLinkMs,
    peerPath,
} from "./constants.js";
import {
    appendEvent,
    createContext,
    crossesRegion,
    writeLinks,
    type Context,
    type PeersOptions,
} from "./context.js";
import { chooseDials, scheduleRetry } from "./dialing.js";
import { Role } from "./handshake.js";
import { CloseCode, createLink, LinkPhase, type Link } from "./link.js";
import { replacesOpenLink } from "./duplicateLinks.js";
import { createHeartbeat, send, sendFrame, sendOrQueue } from "./sending.js";
import type { PeerSocket } from "./transport.js";

export type { PeersOptions };

/** Time allowed for the peers to answer the close frames on shutdown, in milliseconds. */
const closeTimeoutMs = 500;
const handshakeTimeoutsMs = {
    [Role.Dialer]: dialTimeoutMs,
    [Role.Acceptor]: handshakeTimeoutMs,
} satisfies Record<Role, number>;

/**
 * Maintains the links to other daemons. Sends the messages in the outbox feeds and appends received ones to the inbox.
 *
 * @example
 * ```ts
 * const peers = createPeers(board, { transport: createWebSocketTransport(server) });
 * ```
 */
export function createPeers(board: Board, options: PeersOptions): Closeable {
    const context = createContext(board, options);
    const listener = options.transport.accept({
        refusalReason: path => findRefusalReason(context, path),
        onRefused: reason =>
            appendEvent(context, "peer.connectionRefused", EventLevel.Warn, undefined, { reason }),
        onAccepted: socket => addLink(context, socket, Role.Acceptor, undefined),
    });
    const subscriptions = [
        board.observe(["clock"], () => tick(context)),
        ...(["membershipOutbox", "configurationOutbox", "joiningOutbox", "headDutyOutbox"] as const).map(
            feed => board.follow(feed, outgoing => send(context, outgoing)),
        ),
        board.follow("callsOutbox", outgoing => sendOrQueue(context, outgoing)),
    ];
    return {
        async close() {
            subscriptions.forEach(subscription => subscription.close());
            await listener.close();
            context.closing = true;
            await closeLinks(context);
        },
    };
}

/** Returns the reason to refuse a connection to the path, or `undefined` to accept it. */
function findRefusalReason(context: Context, path: string | undefined): string | undefined {
    if (path !== peerPath) {
        return "unknown path";
    }
    if (context.links.size >= maxLinks) {
        return `limit of ${maxLinks} open links reached`;
    }
    return countPendingHandshakes(context) >= maxPendingHandshakes
        ? `limit of ${maxPendingHandshakes} handshakes in progress reached`
        : undefined;
}

function countPendingHandshakes({ connections }: Context): number {
    return [...connections].filter(link => link.role === Role.Acceptor && link.phase !== LinkPhase.Open)
        .length;
}

function addLink(context: Context, socket: PeerSocket, role: Role, dialedAddress: string | undefined): void {
    const { board, self, keys, traffic } = context;
    const link = createLink({
        socket,
        role,
        ...(dialedAddress === undefined ? {} : { dialedAddress }),
        self,
        keys,
        now: () => board.read("clock").now,
        hasDialedLinkTo: host => [...context.connections].some(other => isAuthenticatedDialTo(other, host)),
        admit: next => admitLink(context, next),
        onMessage: (from, message, bytes) => receiveMessage(context, from, message, bytes),
        onProblem: (from, fault) => appendProblemEvent(context, from, fault),
        onClose: (closed, lastPhase) => removeLink(context, closed, lastPhase),
        onHandshakeEnd: (from, frames) =>
            frames.forEach(({ incoming, bytes }) => {
                const count = incoming ? traffic.countReceived : traffic.countSent;
                count("handshake", crossesRegion(context, from), bytes);
            }),
    });
    context.connections.add(link);
}

/** Includes links that the other host has not admitted yet, because several addresses of a host may be dialed at once. */
function isAuthenticatedDialTo({ role, phase, peer }: Link, host: string): boolean {
    const authenticated = phase === LinkPhase.AwaitingAdmission || phase === LinkPhase.Open;
    return role === Role.Dialer && authenticated && peer?.host === host;
}

function admitLink(context: Context, link: Link): boolean {
    const host = link.peer?.host ?? "";
    const openLink = context.links.get(host);
    if (context.closing || !replacesOpenLink(link, openLink, context.self.host)) {
        return false;
    }
    context.links.set(host, link);
    openLink?.close(CloseCode.Duplicate);
    link.heardAt = context.board.read("clock").now;
    link.openedAt = link.heardAt;
    writeLinks(context);
    appendEvent(context, "peer.linked", EventLevel.Info, link, {});
    // The first message tells the dialer that the link was admitted.
    sendFrame(context, link, MessageKind.Heartbeat, encodeFrame(createHeartbeat(context)));
    context.pendingMessages.take(host).forEach(message => send(context, { to: { host }, message }));
    return true;
}

function receiveMessage(context: Context, link: Link, message: PeerMessage, bytes: number): void {
    const host = link.peer?.host ?? "";
    context.traffic.countReceived(message.kind, crossesRegion(context, link), bytes);
    context.inbox.append({ from: host, receivedAt: context.board.read("clock").now, message });
}

function removeLink(context: Context, link: Link, lastPhase: LinkPhase): void {
    const { dialAttempts, board, connections, links, random } = context;
    connections.delete(link);
    if (connections.size === 0) {
        context.onLastConnectionClosed();
    }
    const host = link.peer?.host ?? "";
    if (links.get(host) === link) {
        links.delete(host);
        writeLinks(context);
        appendEvent(context, "peer.unlinked", EventLevel.Info, link, {});
    }
    if (link.dialedAddress !== undefined && dialAttempts.has(link.dialedAddress)) {
        const { now } = board.read("clock");
        const attempt =
            lastPhase === LinkPhase.Open
                ? { failures: 0, nextAttemptAt: now, inProgress: false }
                : scheduleRetry(dialAttempts.get(link.dialedAddress), now, random);
        context.dialAttempts = new Map(dialAttempts).set(link.dialedAddress, attempt);
    }
}

/** Runs the time-driven work: timeouts, heartbeats and new connections. */
function tick(context: Context): void {
    const { now, pausedForMs } = context.board.read("clock");
    for (const link of context.connections) {
        if (link.phase === LinkPhase.Open) {
            noteReceivedBytes(context, link);
            allowForPause(link, { now, pausedForMs });
        }
        closeExpiredLink(context, link, now);
    }
    context.lastTickAt = now;
    if (now - context.lastHeartbeatAt >= heartbeatIntervalMs) {
        context.lastHeartbeatAt = now;
        const frame = encodeFrame(createHeartbeat(context));
        context.links.forEach(link => sendFrame(context, link, MessageKind.Heartbeat, frame));
        writeLinks(context);
        context.peerTraffic.write(context.traffic.total());
    }
    for (const host of context.pendingMessages.expire(now)) {
        appendEvent(context, "peer.unreachable", EventLevel.Warn, undefined, { to: host });
    }
    dialHosts(context, now);
}

/** A large message, and the heartbeats behind it, may take long to arrive on a slow or busy link. */
function noteReceivedBytes({ lastTickAt }: Context, link: Link): void {
    const receivedBytes = link.receivedBytes();
    if (receivedBytes > link.readBytes) {
        link.readBytes = receivedBytes;
        link.hear(lastTickAt);
    }
}

/**
 * What arrived during a pause of the process has not been read yet, and the peer may have been paused, too. Once in each
 * silence, because a process that is short of processor time takes each of its turns for a pause.
 */
function allowForPause(link: Link, { now, pausedForMs }: ClockState): void {
    if (pausedForMs > heartbeatIntervalMs && !link.allowsForPause) {
        link.heardAt = Math.min(now, link.heardAt + pausedForMs);
        link.allowsForPause = true;
    }
}

function closeExpiredLink(context: Context, link: Link, now: number): void {
    if (link.phase !== LinkPhase.Open) {
        // What had arrived by the last tick has been read since. Ticks come before the sockets are polled.
        if (context.lastTickAt - link.heardAt > handshakeTimeoutsMs[link.role]) {
            appendEvent(context, "peer.handshakeTimeout", EventLevel.Warn, link, {});
            link.terminate();
        }
        return;
    }
    if (context.lastTickAt - link.heardAt > heartbeatTimeoutMs) {
        appendEvent(context, "peer.silent", EventLevel.Warn, link, { silentMs: now - link.heardAt });
        link.terminate();
    } else if (isNotNeeded(context, link, now)) {
        link.close(CloseCode.NotNeeded);
    }
}

/** Whether a dialed link, such as one to a seed, can be closed: its peer is not a neighbour and enough links are open. */
function isNotNeeded({ board, links }: Context, link: Link, now: number): boolean {
    const isNeighbour = board.read("topology").neighbours.some(({ host }) => host === link.peer?.host);
    const isExpired = now - link.openedAt > nonNeighbourLinkMs;
    return link.role === Role.Dialer && isExpired && !isNeighbour && links.size > minLinks;
}

function dialHosts(context: Context, now: number): void {
    const { dialAttempts, board, links, random, self } = context;
    const domainAddresses: ReadonlyMap<string, readonly string[]> =
        board.read("domainAddresses") ?? new Map();
    const dials = chooseDials({
        neighbours: [...board.read("topology").neighbours, ...hostsWithPendingMessages(context)],
        seeds: [...board.read("settings").peers, ...(domainAddresses.get(self.failureDomain) ?? [])],
        candidates: findCandidateAddresses(board.read("membership"), domainAddresses, {
            isRelay: board.read("topology").domainRelay,
        }),
        ownAddress: self.address,
        linkedHosts: links,
        // A host may be listed under an address other than the one it advertises, for example behind NAT.
        linkedAddresses: new Set(
            [...links.values()].flatMap(link => [link.peer?.address ?? "", link.dialedAddress ?? ""]),
        ),
        attempts: dialAttempts,
        now,
        random,
    });
    context.dialAttempts = dials.attempts;
    for (const address of dials.addresses) {
        connect(context, address, now);
    }
}

/** Live hosts that have pending messages, as neighbours to dial. */
function hostsWithPendingMessages({ board, pendingMessages }: Context): Neighbour[] {
    const { records } = board.read("membership");
    return pendingMessages.hosts().flatMap(host => {
        const record = records.get(host);
        return record !== undefined && isLive(record) ? [{ host, address: record.peerAddress }] : [];
    });
}

function connect(context: Context, address: string, now: number): void {
    try {
        addLink(context, context.transport.dial(address, peerPath), Role.Dialer, address);
    } catch {
        // The address does not form a valid URL.
        const attempt = scheduleRetry(context.dialAttempts.get(address), now, context.random);
        context.dialAttempts = new Map(context.dialAttempts).set(address, attempt);
    }
}

function appendProblemEvent(context: Context, link: Link, fault: Problem): void {
    appendEvent(context, "peer.refused", EventLevel.Warn, link, {
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
            context.onLastConnectionClosed = resolve;
            timer = setTimeout(resolve, closeTimeoutMs);
        });
        clearTimeout(timer);
    }
    connections.forEach(link => link.terminate());
}
