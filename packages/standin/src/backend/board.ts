import { BackendServerState, createBlackboard, type Blackboard, type Value } from "@tanagertray/core";
import type { RunEntry } from "../ledger.js";

export const ReportedHealth = {
    Honest: "honest",
    AlwaysHealthy: "alwaysHealthy",
    AlwaysUnhealthy: "alwaysUnhealthy",
} as const;
export type ReportedHealth = (typeof ReportedHealth)[keyof typeof ReportedHealth];

/** Injected faults of a backend server, set with `PUT /control`. */
export interface BackendFaults {
    /** Refuse every call as not run, before any work is done. */
    shed: boolean;
    /** Fail every call with 500 before it runs; `health` decides whether health checks show it. */
    broken: boolean;
    health: ReportedHealth;
    /** Load from 0 to 1 to report instead of the actual one. */
    reportedLoad: number | null;
    /** Duration of a call in milliseconds. */
    workMs: number;
    /** Accept calls but never respond. */
    silent: boolean;
    /** Number of upcoming calls that run but whose connection is closed instead of a response. */
    loseAnswers: number;
    /** Announce `draining` and refuse new calls. */
    draining: boolean;
    /** Whether announcements are sent. */
    announce: boolean;
}

export interface BackendCounters {
    inFlight: number;
    peakInFlight: number;
    connections: number;
    peakConnections: number;
    refused: number;
    /** Calls that did not run because their body was not received completely. */
    abandonedBodies: number;
    announcements: number;
    failedAnnouncements: number;
}

export interface BackendIdentity {
    readonly id: string;
    readonly service: string;
    readonly slots: number;
    readonly connections: number;
    readonly coldStartMs: number;
    readonly startedAt: number;
}

/**
 * Sections of the backend server stand-in and their writers: `faults` by faultControl.ts, `counters` by
 * counters.ts, `runs` by runLedger.ts.
 */
export interface BackendSections {
    identity: Value<BackendIdentity>;
    faults: Value<BackendFaults>;
    counters: Value<BackendCounters>;
    runs: Value<{ readonly entries: readonly RunEntry[]; readonly dropped: number }>;
}

export type BackendBoard = Blackboard<BackendSections>;

export function createBackendBoard(identity: BackendIdentity, faults: Partial<BackendFaults>): BackendBoard {
    return createBlackboard<BackendSections>({
        values: {
            identity,
            faults: {
                shed: false,
                broken: false,
                health: ReportedHealth.Honest,
                reportedLoad: null,
                workMs: 2,
                silent: false,
                loseAnswers: 0,
                draining: false,
                announce: true,
                ...faults,
            },
            counters: {
                inFlight: 0,
                peakInFlight: 0,
                connections: 0,
                peakConnections: 0,
                refused: 0,
                abandonedBodies: 0,
                announcements: 0,
                failedAnnouncements: 0,
            },
            runs: { entries: [], dropped: 0 },
        },
        feeds: {},
    });
}

/** Load that the backend server reports: the share of its slots in use, unless the fault `reportedLoad` is set. */
export function reportedLoadOf(board: BackendBoard): number {
    const { inFlight } = board.read("counters");
    return board.read("faults").reportedLoad ?? inFlight / board.read("identity").slots;
}

export function stateOf(board: BackendBoard): BackendServerState {
    return board.read("faults").draining ? BackendServerState.Draining : BackendServerState.Serving;
}
