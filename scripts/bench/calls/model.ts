import {
    createBlackboard,
    createRetryBudget,
    createServiceAdmission,
    type BackendServer,
    type Blackboard,
    type HostObservation,
    type Location,
    type Refusal,
    type RetryBudget,
    type Service,
    type ServiceAdmission,
    type ServiceTargets,
    type Value,
    type WaitingCall,
} from "@tanagertray/core";
import type { Either } from "purify-ts/Either";
import type { SelectorState } from "./selectors.js";

/** A host with a daemon and one backend server, in virtual time. */
export interface SimulatedHost {
    readonly location: Location;
    readonly service: Service;
    readonly server: BackendServer;
    readonly admission: ServiceAdmission;
    readonly waiting: Map<WaitingCall, (outcome: Either<Refusal, BackendServer>) => void>;
    /** Observations that this host makes as entry daemon, by service and host. */
    readonly observations: Map<string, Map<string, HostObservation>>;
    readonly budget: RetryBudget;
    readonly selectorState: SelectorState;
    targets: ReadonlyMap<string, ServiceTargets>;
    isUp: boolean;
    startedAt: number;
    /** Returns the factor that multiplies service times at a point in time. */
    serviceTimeFactor: (now: number) => number;
    /** Load samples, newest last; see `reportedLoad`. */
    readonly loads: number[];
    readonly reportAgeMs: number;
    readonly reportsZeroLoad: boolean;
}

export const SimulatedOutcome = {
    Completed: "completed",
    /** Refused as not run. */
    Refused: "refused",
    /** The backend server responded that its own call to another service had failed. */
    DownstreamFailed: "failedBelow",
    Lost: "lost",
} as const;
export type SimulatedOutcome = (typeof SimulatedOutcome)[keyof typeof SimulatedOutcome];

export interface SimulatedResult {
    readonly partner: string;
    readonly startedAt: number;
    readonly durationMs: number;
    readonly outcome: SimulatedOutcome;
    readonly attempts: number;
}

export interface Traffic {
    regionBytes: number;
    /** Number of attempts that arrived at any host, by service. */
    readonly attempts: Map<string, number>;
}

/** Sections of a simulation. The scenario writes `hosts`; the mesh writes the others. */
export interface SimulationSections {
    hosts: Value<readonly SimulatedHost[]>;
    results: Value<readonly SimulatedResult[]>;
    traffic: Value<Traffic>;
}
export type SimulationBoard = Blackboard<SimulationSections>;

export function createSimulationBoard(): SimulationBoard {
    return createBlackboard<SimulationSections>({
        values: { hosts: [], results: [], traffic: { regionBytes: 0, attempts: new Map() } },
        feeds: {},
    });
}

export interface HostOptions {
    readonly location: Location;
    readonly service: string;
    readonly slots: number;
    readonly connections: number;
    readonly coldStartMs?: number;
    readonly startedAt?: number;
    readonly serviceTimeFactor?: (now: number) => number;
    readonly reportAgeMs?: number;
    readonly reportsZeroLoad?: boolean;
}

const retryBurstAtStart = 10;

export function createSimulatedHost(options: HostOptions): SimulatedHost {
    const { location, service, slots, connections, coldStartMs = 0, startedAt = 0 } = options;
    return {
        location,
        service: { kind: "service", name: service, slots, connections, drainMs: 10_000, coldStartMs },
        server: {
            id: location.host,
            service,
            address: `${location.host}:1`,
            incarnation: 1,
            counter: 1,
            state: "serving",
            announcedAt: Number.MAX_SAFE_INTEGER,
            firstSeenAt: 0,
        },
        admission: createServiceAdmission(),
        waiting: new Map(),
        observations: new Map(),
        budget: { ...createRetryBudget(), tokens: retryBurstAtStart },
        selectorState: { turn: 0 },
        targets: new Map(),
        isUp: true,
        startedAt,
        serviceTimeFactor: options.serviceTimeFactor ?? (() => 1),
        loads: [],
        reportAgeMs: options.reportAgeMs ?? 0,
        reportsZeroLoad: options.reportsZeroLoad ?? false,
    };
}
