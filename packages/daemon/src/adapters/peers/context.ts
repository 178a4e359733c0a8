import type { EventLevel } from "@tanagertray/core";
import type { Server } from "node:http";
import type { Board, PeerLink } from "../../board.js";
import { formatEndpoint } from "../../settings/resolveSettings.js";
import type { Attempt } from "./dialing.js";
import type { Identity } from "./handshake.js";
import type { Link } from "./link.js";
import { createTrafficCounter } from "./traffic.js";
import { createWaitingMessages } from "./waitingMessages.js";

export interface PeersOptions {
    /** Listener that receives the upgrade requests of other daemons. */
    readonly server: Server;
    /** @default Math.random */
    readonly random?: () => number;
}

/** State of the peer adapter. */
export type Context = ReturnType<typeof createContext>;

export function createContext(board: Board, { random = Math.random }: PeersOptions) {
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
        self,
        keys: settings.keys.peer,
        /** Every connection, also those in their handshake. */
        connections: new Set<Link>(),
        /** The one open link to each host. */
        links: new Map<string, Link>(),
        attempts: new Map<string, Attempt>() as ReadonlyMap<string, Attempt>,
        traffic: createTrafficCounter(),
        waiting: createWaitingMessages(),
        heartbeatAt: 0,
        closing: false,
        /** Called when the last connection is gone while closing. */
        emptied: () => {},
        peerLinks: board.claimValue("peerLinks"),
        peerTraffic: board.claimValue("peerTraffic"),
        inbox: board.claimFeed("peerInbox"),
        events: board.claimFeed("peerEvents"),
    };
}

export function crossesRegion({ self }: Context, link: Link): boolean {
    return link.peer !== undefined && link.peer.region !== self.region;
}

/** Writes the open links to the blackboard. */
export function writeLinks({ links, peerLinks }: Context): void {
    const open = [...links].flatMap(([host, link]): [string, PeerLink][] =>
        link.peer === undefined
            ? []
            : [[host, { ...link.peer, openedAt: link.openedAt, heardAt: link.heardAt }]],
    );
    peerLinks.write(new Map(open));
}

export function note(
    { events }: Context,
    name: string,
    level: EventLevel,
    link: Link | undefined,
    fields: Record<string, string | number | undefined>,
): void {
    const address = link?.dialed ?? link?.peer?.address;
    events.append({ name, level, fields: { host: link?.peer?.host, address, ...fields } });
}
