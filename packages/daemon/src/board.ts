import {
    createBlackboard,
    createBodyWindow,
    createBucketMap,
    ReadinessState,
    type Announcement,
    type BackendServer,
    type Blackboard,
    type BodyWindow,
    type BucketMap,
    type ConfigurationState,
    type Departure,
    type DrainCommand,
    type Event,
    type Feed,
    type Head,
    type HostDeparture,
    type HostObservation,
    type HostRecord,
    type IncomingMessage,
    type OutgoingMessage,
    type PeerDeparture,
    type PlatformCommand,
    type PlatformReply,
    type Problem,
    type Readiness,
    type Revision,
    type RevisionDifference,
    type ServiceAdmission,
    type ServiceTargets,
    type Span,
    type Topology,
    type Value,
} from "@tanagertray/core";
import type { Either } from "purify-ts/Either";
import { noTraffic, type PeerTraffic } from "./adapters/peers/traffic.js";
import { formatEndpoint } from "./settings/resolveSettings.js";
import type { ResolvedSettings } from "./settings/settings.js";

/** Last tick of the clock. */
export interface ClockState {
    /** Milliseconds since the epoch. */
    readonly now: number;
    /** Pause of the process before this tick, as seen from a long gap between two ticks; 0 without one. */
    readonly pausedForMs: number;
}

/** An open control link to another daemon. */
export interface PeerLink {
    readonly host: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly address: string;
    readonly openedAt: number;
    /** Time of the last message on the link, moved forward by pauses of this process. */
    readonly heardAt: number;
}

export interface PlatformState {
    readonly head: Head | undefined;
    /** Entity tag of the head row, used for conditional reads. */
    readonly headTag: string | undefined;
    readonly reachable: boolean;
    /** Whether a read of the head row was answered since the process started. */
    readonly headRead: boolean;
    /** Number of reads of the head row that returned an older version than one already seen. */
    readonly staleReads: number;
    /** Time of the last answered read of the head row, in milliseconds since the epoch. */
    readonly headReadAt: number | undefined;
    /** Time at which that read was sent. */
    readonly headAskedAt: number | undefined;
    /** Time of the last change of `reachable`, in milliseconds since the epoch. */
    readonly since: number;
}

export interface HeadDuty {
    /** Whether this host reads the head row. */
    readonly isReading: boolean;
    /** Time of the last answered read of a host of the failure domain, or of the start, in milliseconds. */
    readonly answeredAt: number;
}

/** A row of the platform's table service; both fields are `undefined` if it does not exist. */
export interface ListedRow {
    readonly row: unknown;
    readonly tag: string | undefined;
}

export interface DepartureHistory {
    /** Whether the departures that were stored before the start of this process are known. */
    readonly isRead: boolean;
    readonly departures: readonly HostDeparture[];
    /** Keys of the stored departures (`departureKey`); `undefined` if this host stores none. */
    readonly storedKeys: ReadonlySet<string> | undefined;
}

export interface Membership {
    readonly self: HostRecord;
    readonly records: BucketMap<HostRecord>;
    /** Highest configuration version that each host is known to have held. */
    readonly watermarks: BucketMap<number>;
    /** Counts the changes of the set of hosts or their locations; other changes of records do not count. */
    readonly compositionChanges: number;
}

export interface ShutdownState {
    readonly requested: boolean;
    /** Time until which new calls are still accepted after the shutdown request, in milliseconds since the epoch. */
    readonly acceptsCallsUntil: number;
    /** Time at which calls in flight are aborted, in milliseconds since the epoch. */
    readonly abortsCallsAt: number;
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

/** Result by command: the revision of a submit or reject, the head of an accept, a list, or a difference. */
export type RevisionOutcome = Revision | Head | readonly Revision[] | RevisionDifference;

export interface RevisionReply {
    readonly id: string;
    readonly outcome: Either<Problem, RevisionOutcome>;
}

/** Sections of a daemon's blackboard. `docs/design.md` lists the writer of each section. */
export interface Sections {
    settings: Value<ResolvedSettings>;
    clock: Value<ClockState>;
    peerLinks: Value<ReadonlyMap<string, PeerLink>>;
    peerTraffic: Value<PeerTraffic>;
    peerInbox: Feed<IncomingMessage>;
    membership: Value<Membership>;
    membershipOutbox: Feed<OutgoingMessage>;
    topology: Value<Topology>;
    /**
     * Addresses for the first links, by failure domain, as listed in the domain rows (`domain/<failure domain>`).
     * `undefined` before the first successful read.
     */
    domainAddresses: Value<ReadonlyMap<string, readonly string[]> | undefined>;
    domainRowIo: Feed<PlatformCommand>;
    departureRowIo: Feed<PlatformCommand>;
    platformState: Value<PlatformState>;
    headDuty: Value<HeadDuty>;
    headDutyOutbox: Feed<OutgoingMessage>;
    headReads: Feed<PlatformCommand>;
    objectReads: Feed<PlatformCommand>;
    revisionIo: Feed<PlatformCommand>;
    platformReplies: Feed<PlatformReply>;
    configuration: Value<ConfigurationState>;
    configurationOutbox: Feed<OutgoingMessage>;
    joiningOutbox: Feed<OutgoingMessage>;
    readiness: Value<Readiness>;
    shutdown: Value<ShutdownState>;
    announcements: Feed<Announcement | DrainCommand>;
    backendServers: Value<ReadonlyMap<string, BackendServer>>;
    /** Departures of this host's backend servers, by id. */
    departures: Value<ReadonlyMap<string, Departure>>;
    /**
     * Row with the departures of this failure domain (`domainDepartures/<failure domain>`) as it was listed last.
     * `undefined` before the first successful read.
     */
    listedDepartureRow: Value<ListedRow | undefined>;
    /** Departures of this host's backend servers that the platform stores. */
    departureHistory: Value<DepartureHistory>;
    /** Departures published by other hosts, by host. */
    peerDepartures: Value<ReadonlyMap<string, readonly PeerDeparture[]>>;
    /** Hosts that offer each service, by service and tier. */
    targets: Value<ReadonlyMap<string, ServiceTargets>>;
    /** Measurements of other hosts from the calls sent to them, by service and host. */
    hostObservations: Value<ReadonlyMap<string, ReadonlyMap<string, HostObservation>>>;
    /** Slots in use and waiting calls, by service. */
    admissionState: Value<ReadonlyMap<string, ServiceAdmission>>;
    /** Request bodies being received, and those that other hosts wait to send. */
    bodyWindow: Value<BodyWindow>;
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
    departureRowEvents: Feed<Event>;
    headDutyEvents: Feed<Event>;
    headReadingEvents: Feed<Event>;
    operatorEvents: Feed<Event>;
    traceEvents: Feed<Event>;
    daemonEvents: Feed<Event>;
}

export type { PeerTraffic, Topology };

export type Board = Blackboard<Sections>;

/** Maximum number of undelivered entries of a feed. Beyond it, the oldest entry is dropped. */
const feedCapacity = 4_096;

export function createBoard(settings: ResolvedSettings, now: number): Board {
    return createBlackboard<Sections>({
        values: {
            settings,
            clock: { now, pausedForMs: 0 },
            peerLinks: new Map(),
            peerTraffic: noTraffic,
            membership: {
                self: initialRecord(settings, now),
                records: createBucketMap(),
                watermarks: createBucketMap(),
                compositionChanges: 0,
            },
            topology: {
                headReader: false,
                headReaders: [],
                domainRelay: false,
                regionRelay: false,
                neighbours: [],
            },
            headDuty: { isReading: false, answeredAt: now },
            domainAddresses: undefined,
            platformState: {
                head: undefined,
                headTag: undefined,
                staleReads: 0,
                reachable: false,
                headRead: false,
                headReadAt: undefined,
                headAskedAt: undefined,
                since: now,
            },
            configuration: { held: undefined },
            readiness: { state: ReadinessState.Joining, reason: "starting", floor: 0, since: now },
            shutdown: { requested: false, acceptsCallsUntil: 0, abortsCallsAt: Infinity },
            backendServers: new Map(),
            departures: new Map(),
            listedDepartureRow: undefined,
            departureHistory: { isRead: true, departures: [], storedKeys: undefined },
            peerDepartures: new Map(),
            targets: new Map(),
            hostObservations: new Map(),
            admissionState: new Map(),
            bodyWindow: createBodyWindow(settings.linkMbps),
        },
        feeds: {
            peerInbox: feedCapacity,
            membershipOutbox: feedCapacity,
            domainRowIo: feedCapacity,
            departureRowIo: feedCapacity,
            headDutyOutbox: feedCapacity,
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
            departureRowEvents: feedCapacity,
            headDutyEvents: feedCapacity,
            headReadingEvents: feedCapacity,
            operatorEvents: feedCapacity,
            traceEvents: feedCapacity,
            daemonEvents: feedCapacity,
        },
    });
}

function initialRecord(settings: ResolvedSettings, now: number): HostRecord {
    return {
        host: settings.host,
        failureDomain: settings.failureDomain,
        region: settings.region,
        incarnation: now,
        counter: 0,
        state: "alive",
        peerAddress: formatEndpoint(settings.advertise.peer),
        offers: [],
        version: 0,
    };
}
