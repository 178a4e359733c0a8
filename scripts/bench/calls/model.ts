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
    /** Observations of the entry daemon, by service and host. */
    readonly observations: Map<string, Map<string, HostObservation>>;
    readonly budget: RetryBudget;
    readonly selectorState: SelectorState;
    targets: ReadonlyMap<string, ServiceTargets>;
    up: boolean;
    startedAt: number;
    /** Factor of the service time at an instant. */
    slowness: (now: number) => number;
    /** Reports of the load, newest last; see `reportedLoad`. */
    readonly loads: number[];
    readonly reportAgeMs: number;
    readonly reportsZero: boolean;
}

export const SimulatedEnd = {
    Completed: "completed",
    /** Refused as not run. */
    Refused: "refused",
    /** The backend server answered that a call of its own failed. */
    FailedBelow: "failedBelow",
    Lost: "lost",
} as const;
export type SimulatedEnd = (typeof SimulatedEnd)[keyof typeof SimulatedEnd];

export interface SimulatedResult {
    readonly partner: string;
    readonly startedAt: number;
    readonly durationMs: number;
    readonly end: SimulatedEnd;
    readonly attempts: number;
}

export interface Traffic {
    regionBytes: number;
    /** Attempts that arrived at a host, by service. */
    readonly attempts: Map<string, number>;
}

/** Sections of a simulation; `hosts` is written by its scenario, the others by the mesh. */
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
    readonly slowness?: (now: number) => number;
    readonly reportAgeMs?: number;
    readonly reportsZero?: boolean;
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
        up: true,
        startedAt,
        slowness: options.slowness ?? (() => 1),
        loads: [],
        reportAgeMs: options.reportAgeMs ?? 0,
        reportsZero: options.reportsZero ?? false,
    };
}
