import type { EventLevel } from "@tanagertray/core";
import type { Board, PeerLink } from "../../board.js";
import { formatEndpoint } from "../../settings/resolveSettings.js";
import type { DialAttempt } from "./dialing.js";
import type { Identity } from "./handshake.js";
import type { Link } from "./link.js";
import { createTrafficCounter } from "./traffic.js";
import { createPendingMessages } from "./pendingMessages.js";
import type { PeerTransport } from "./transport.js";

export interface PeersOptions {
    readonly transport: PeerTransport;
    /** @default Math.random */
    readonly random?: () => number;
}

/** State of the peer adapter. */
export type Context = ReturnType<typeof createContext>;

export function createContext(board: Board, { transport, random = Math.random }: PeersOptions) {
    const settings = board.read("settings");
    const self: Identity = {
        host: settings.host,
        failureDomain: settings.failureDomain,
        region: settings.region,
        address: formatEndpoint(settings.advertise.peer),
    };
    return {
        board,
        random,
        transport,
        self,
        keys: settings.keys.peer,
        /** All connections, including those whose handshake is in progress. */
        connections: new Set<Link>(),
        /** The open link to each host. */
        links: new Map<string, Link>(),
        dialAttempts: new Map<string, DialAttempt>() as ReadonlyMap<string, DialAttempt>,
        traffic: createTrafficCounter(),
        pendingMessages: createPendingMessages(),
        lastHeartbeatAt: 0,
        /** Time of the tick of the clock before the current one, in milliseconds since the epoch. */
        lastTickAt: board.read("clock").now,
        closing: false,
        /** Set on shutdown to resolve the wait for the last connection to close. */
        onLastConnectionClosed: () => {},
        peerLinks: board.claimValue("peerLinks"),
        peerTraffic: board.claimValue("peerTraffic"),
        inbox: board.claimFeed("peerInbox"),
        events: board.claimFeed("peerEvents"),
    };
}

export function crossesRegion({ self }: Context, link: Link): boolean {
    return link.peer !== undefined && link.peer.region !== self.region;
}

/** Writes the open links to the `peerLinks` section of the blackboard. */
export function writeLinks({ links, peerLinks }: Context): void {
    const openLinks = [...links].flatMap(([host, link]): [string, PeerLink][] =>
        link.peer === undefined
            ? []
            : [[host, { ...link.peer, openedAt: link.openedAt, heardAt: link.heardAt }]],
    );
    peerLinks.write(new Map(openLinks));
}

export function appendEvent(
    { events }: Context,
    name: string,
    level: EventLevel,
    link: Link | undefined,
    fields: Record<string, string | number | undefined>,
): void {
    const address = link?.dialedAddress ?? link?.peer?.address;
    events.append({ name, level, fields: { host: link?.peer?.host, address, ...fields } });
}
