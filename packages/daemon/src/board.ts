import {
    createBlackboard,
    ReadinessState,
    type Announcement,
    type BackendServer,
    type Blackboard,
    type ConfigurationState,
    type Event,
    type Feed,
    type Head,
    type HostRecord,
    type IncomingMessage,
    type OutgoingMessage,
    type PlatformCommand,
    type PlatformReply,
    type Problem,
    type Readiness,
    type Revision,
    type RevisionDifference,
    type Span,
    type Value,
} from "@tanagertray/core";
import type { Either } from "purify-ts/Either";
import type { ResolvedSettings } from "./settings/settings.js";

/** Last tick of the clock. A long gap between two ticks means that the process was paused. */
export interface ClockState {
    /** Milliseconds since the epoch. */
    readonly now: number;
    readonly pausedForMs: number;
}

/** One open control link to another daemon. */
export interface PeerLink {
    readonly host: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly address: string;
    readonly openedAt: number;
    readonly heardAt: number;
}

export interface PlatformState {
    readonly head: Head | undefined;
    /** Entity tag of the head row, for conditional reads. */
    readonly headTag: string | undefined;
    readonly reachable: boolean;
    /** Whether a read of the head row was answered since the start. */
    readonly headRead: boolean;
    /** Reads of the head row that returned an older version than one already seen. */
    readonly staleReads: number;
    /** Milliseconds since the epoch at the last answered read of the head row. */
    readonly headReadAt: number | undefined;
    readonly since: number;
}

/** Roles that follow from the membership. */
export interface Topology {
    readonly headReader: boolean;
    readonly domainRelay: boolean;
    readonly regionRelay: boolean;
    /** Hosts that this host should hold a link to. */
    readonly neighbours: readonly { readonly host: string; readonly address: string }[];
}

export interface Membership {
    readonly self: HostRecord;
    readonly records: ReadonlyMap<string, HostRecord>;
    /** Highest version that each host was seen to hold. */
    readonly watermarks: ReadonlyMap<string, number>;
}

export const RevisionCommandKind = {
    Submit: "submit",
    Accept: "accept",
    Reject: "reject",
    List: "list",
    Diff: "diff",
} as const;
export type RevisionCommandKind = (typeof RevisionCommandKind)[keyof typeof RevisionCommandKind];

export interface RevisionCommand {
    readonly id: string;
    readonly kind: RevisionCommandKind;
    readonly operator: string;
    readonly answers?: unknown;
    readonly revision?: number;
}

/** The revision submitted or rejected, the head after an acceptance, a list, or a difference. */
export type RevisionOutcome = Revision | Head | readonly Revision[] | RevisionDifference;

export interface RevisionReply {
    readonly id: string;
    readonly outcome: Either<Problem, RevisionOutcome>;
}

/** Every section of a daemon's blackboard. `docs/design.md` names the writer of each. */
export interface Sections {
    settings: Value<ResolvedSettings>;
    clock: Value<ClockState>;
    peerLinks: Value<ReadonlyMap<string, PeerLink>>;
    peerInbox: Feed<IncomingMessage>;
    membership: Value<Membership>;
    membershipOutbox: Feed<OutgoingMessage>;
    topology: Value<Topology>;
    platformState: Value<PlatformState>;
    headReads: Feed<PlatformCommand>;
    objectReads: Feed<PlatformCommand>;
    revisionIo: Feed<PlatformCommand>;
    platformReplies: Feed<PlatformReply>;
    configuration: Value<ConfigurationState>;
    configurationOutbox: Feed<OutgoingMessage>;
    joiningOutbox: Feed<OutgoingMessage>;
    readiness: Value<Readiness>;
    shutdown: Value<{ readonly requested: boolean }>;
    announcements: Feed<Announcement>;
    backendServers: Value<ReadonlyMap<string, BackendServer>>;
    revisionCommands: Feed<RevisionCommand>;
    revisionReplies: Feed<RevisionReply>;
    callsOutbox: Feed<OutgoingMessage>;
    spans: Feed<Span>;
    peerEvents: Feed<Event>;
    membershipEvents: Feed<Event>;
    configurationEvents: Feed<Event>;
    readinessEvents: Feed<Event>;
    platformEvents: Feed<Event>;
    callEvents: Feed<Event>;
    backendServerEvents: Feed<Event>;
    operatorEvents: Feed<Event>;
}

export type Board = Blackboard<Sections>;

/** Undelivered entries of a feed before the oldest is dropped. */
const feedCapacity = 4_096;

export function createBoard(settings: ResolvedSettings, now: number): Board {
    return createBlackboard<Sections>({
        values: {
            settings,
            clock: { now, pausedForMs: 0 },
            peerLinks: new Map(),
            membership: { self: firstRecord(settings, now), records: new Map(), watermarks: new Map() },
            topology: { headReader: true, domainRelay: false, regionRelay: false, neighbours: [] },
            platformState: {
                head: undefined,
                headTag: undefined,
                staleReads: 0,
                reachable: false,
                headRead: false,
                headReadAt: undefined,
                since: now,
            },
            configuration: { held: undefined },
            readiness: { state: ReadinessState.Joining, reason: "starting", floor: 0, since: now },
            shutdown: { requested: false },
            backendServers: new Map(),
        },
        feeds: {
            peerInbox: feedCapacity,
            membershipOutbox: feedCapacity,
            headReads: feedCapacity,
            objectReads: feedCapacity,
            revisionIo: feedCapacity,
            platformReplies: feedCapacity,
            configurationOutbox: feedCapacity,
            joiningOutbox: feedCapacity,
            announcements: feedCapacity,
            revisionCommands: feedCapacity,
            revisionReplies: feedCapacity,
            callsOutbox: feedCapacity,
            spans: feedCapacity,
            peerEvents: feedCapacity,
            membershipEvents: feedCapacity,
            configurationEvents: feedCapacity,
            readinessEvents: feedCapacity,
            platformEvents: feedCapacity,
            callEvents: feedCapacity,
            backendServerEvents: feedCapacity,
            operatorEvents: feedCapacity,
        },
    });
}

function firstRecord(settings: ResolvedSettings, now: number): HostRecord {
    return {
        host: settings.host,
        failureDomain: settings.failureDomain,
        region: settings.region,
        incarnation: now,
        counter: 0,
        state: "alive",
        peerAddress: `${settings.listen.peer.address}:${settings.listen.peer.port}`,
        offers: [],
        version: 0,
    };
}
