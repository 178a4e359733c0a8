import { createBlackboard, type Blackboard, type Feed, type Value } from "@tanagertray/core";
import type { CallLedger, RunLedger } from "@tanagertray/standin";
import type { ChildProcess } from "node:child_process";
import type { Deployment, PlannedHost } from "./deployment.js";

/** A host of the demo with the addresses that were assigned at startup. */
export interface DemoHost extends PlannedHost {
    readonly calls: string;
    readonly peer: string;
    readonly admin: string;
    readonly settingsFile: string;
    /** Base URL of the backend server; empty until it has started. */
    readonly backendServer: string;
}

export interface RunningProcess {
    readonly name: string;
    readonly child: ChildProcess;
    readonly exited: Promise<void>;
}

export interface Rollout {
    /** Latest accepted version. */
    readonly version: number;
    readonly convergenceMs: number;
}

export interface ControlBytes {
    /** Bytes between daemons and the platform, counted by relays. */
    readonly platform: number;
    /** Bytes between daemons according to their metrics; `undefined` if no daemon reports any. */
    readonly peer: number | undefined;
}

/**
 * Sections of the demo and their writers: `processes` by processes.ts, `hosts` by fleet.ts,
 * `controlBytes` by controlBytes.ts, `rollout` by rollout.ts, `callLedgers` and `runLedgers` by
 * traffic.ts, `progress` by run.ts.
 */
export interface DemoSections {
    deployment: Value<Deployment>;
    processes: Value<ReadonlyMap<string, RunningProcess>>;
    hosts: Value<readonly DemoHost[]>;
    controlBytes: Value<ControlBytes>;
    rollout: Value<Rollout>;
    callLedgers: Value<readonly CallLedger[]>;
    runLedgers: Value<readonly RunLedger[]>;
    progress: Feed<string>;
}

export type DemoBoard = Blackboard<DemoSections>;

const progressCapacity = 64;

export function createDemoBoard(deployment: Deployment): DemoBoard {
    return createBlackboard<DemoSections>({
        values: {
            deployment,
            processes: new Map(),
            hosts: [],
            controlBytes: { platform: 0, peer: undefined },
            rollout: { version: 0, convergenceMs: 0 },
            callLedgers: [],
            runLedgers: [],
        },
        feeds: { progress: progressCapacity },
    });
}
