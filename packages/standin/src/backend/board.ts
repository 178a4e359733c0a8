import { BackendServerState, createBlackboard, type Blackboard, type Value } from "@tanagertray/core";
import type { RunEntry } from "../ledger.js";

export const ReportedHealth = {
    Honest: "honest",
    AlwaysHealthy: "alwaysHealthy",
    AlwaysUnhealthy: "alwaysUnhealthy",
} as const;
export type ReportedHealth = (typeof ReportedHealth)[keyof typeof ReportedHealth];

/** Faults of a backend server, switched with `PUT /control`. */
export interface BackendFaults {
    /** Refuse every call as not run before anything is done. */
    shed: boolean;
    /** Fail every call with 500 before it runs, while health stays as reported. */
    broken: boolean;
    health: ReportedHealth;
    /** Load to announce and report instead of the real one, from 0 to 1. */
    reportedLoad: number | null;
    /** Time that a call takes in milliseconds. */
    workMs: number;
    /** Accept calls and never answer. */
    silent: boolean;
    /** Close the connection instead of answering the next calls, after they ran. */
    loseAnswers: number;
    /** Leave: announce `draining` and refuse new calls. */
    draining: boolean;
    /** Send no more announcements. */
    announce: boolean;
}

export interface BackendCounters {
    inFlight: number;
    peakInFlight: number;
    connections: number;
    peakConnections: number;
    refused: number;
    /** Calls whose body did not arrive whole, so that they did not run. */
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
 * Sections of the backend server stand-in and their writers: `faults` by control.ts, `counters` by
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

/** Load that the backend server reports: the share of its slots in use, or the misleading figure. */
export function reportedLoadOf(board: BackendBoard): number {
    const { inFlight } = board.read("counters");
    return board.read("faults").reportedLoad ?? inFlight / board.read("identity").slots;
}

export function stateOf(board: BackendBoard): BackendServerState {
    return board.read("faults").draining ? BackendServerState.Draining : BackendServerState.Serving;
}
