import { createBlackboard, type Blackboard, type Feed, type Value } from "@tanagertray/core";
import type { DaemonExit, SiteDaemon } from "@tanagertray/standin";
import type { ReportedRun } from "@tanagertray/standin/siteServerMain";
import type { ChildProcess } from "node:child_process";
import type { CallPlan } from "./call.js";
import type { CheckKind } from "./checks.js";
import type { Fault, Link } from "./faults.js";

export const Step = { Begin: "begin", End: "end" } as const;
export type Step = (typeof Step)[keyof typeof Step];

/** Who does what: faults occur only in the phase of that name. */
export const Phase = { Starting: "starting", Faults: "faults", Healed: "healed", Done: "done" } as const;
export type Phase = (typeof Phase)[keyof typeof Phase];

export interface SentSignal {
    readonly name: NodeJS.Signals;
    readonly at: number;
}

/** One process of the daemon of a host. Times are in milliseconds since 1970. */
export interface DaemonLife {
    readonly host: number;
    readonly startedAt: number;
    readonly daemon: SiteDaemon;
    readonly signals: readonly SentSignal[];
    readonly exit?: DaemonExit;
    readonly endedAt?: number;
}

/** One process of the backend server of a host. */
export interface ServerLife {
    /** Tells processes under one id apart. */
    readonly life: number;
    readonly host: number;
    readonly id: string;
    readonly service: string;
    readonly process: ChildProcess;
    readonly signals: readonly SentSignal[];
    readonly hasEnded: boolean;
    /** It was told to drain or to leave. */
    readonly isLeaving: boolean;
    /** When the daemon acknowledged that it leaves. */
    readonly leftAt?: number;
}

/** A call that has ended at its client. */
export interface Call extends CallPlan {
    readonly host: number;
    readonly sentAt: number;
    readonly endedAt: number;
    /** The client closed the connection before the end of the answer. */
    readonly hasLeft: boolean;
    readonly status?: number;
    readonly retryAfter?: string;
    /** The answer ended as its framing says. */
    readonly isComplete: boolean;
    /** The body is that of a run of this call. */
    readonly isOwn: boolean;
    readonly error?: string;
}

/** A call that began to run at a backend server. */
export interface Run extends ReportedRun {
    readonly life: number;
    /** Host of the backend server, and the host whose address it has. */
    readonly host: number;
    readonly addressHost: number;
    readonly server: string;
    readonly service: string;
    /** The same of the process of the relays, if the call passed one. */
    readonly relaysStalledMs: number;
}

/** Time in which a relay held bytes back or reset connections. */
export interface Disturbance {
    readonly host: number;
    readonly link: Link;
    readonly from: number;
    readonly to: number;
}

export interface Finding {
    readonly check: CheckKind;
    readonly text: string;
}

/**
 * Sections of a run and their writers: `phase` by run.ts, `injections` by timeline.ts, `disturbances` by
 * connections.ts, `daemons` by daemons.ts, `servers` and `runs` by servers.ts, `version` by store.ts, `calls` by
 * clients.ts, `findings` by checking.ts.
 */
export interface SoakSections {
    phase: Value<Phase>;
    injections: Feed<{ readonly fault: Fault; readonly step: Step }>;
    disturbances: Value<readonly Disturbance[]>;
    /** The newest process of each host, and those before. */
    daemons: Value<readonly DaemonLife[]>;
    servers: Value<readonly ServerLife[]>;
    runs: Feed<Run>;
    version: Value<number>;
    calls: Feed<Call>;
    findings: Value<readonly Finding[]>;
}

export type SoakBoard = Blackboard<SoakSections>;

/** Undelivered entries of a feed; they are delivered in the next microtask. */
const feedCapacity = 4_096;

export function createSoakBoard(): SoakBoard {
    return createBlackboard<SoakSections>({
        values: {
            phase: Phase.Starting,
            disturbances: [],
            daemons: [],
            servers: [],
            version: 0,
            findings: [],
        },
        feeds: { injections: feedCapacity, runs: feedCapacity, calls: feedCapacity },
    });
}
