import { createBlackboard, type Blackboard, type Feed, type Value } from "@tanagertray/core";
import type { DaemonExit, SiteDaemon } from "@tanagertray/standin";
import type { ReportedRun } from "@tanagertray/standin/siteServerMain";
import type { ChildProcess } from "node:child_process";
import type { CallPlan } from "./call.js";
import type { CheckKind } from "./checks.js";
import type { Fault, Link } from "./faults.js";

export const FaultStep = { Begin: "begin", End: "end" } as const;
export type FaultStep = (typeof FaultStep)[keyof typeof FaultStep];

/** Phases of a run. Faults are injected only in `Faults`. */
export const Phase = { Starting: "starting", Faults: "faults", Healed: "healed", Done: "done" } as const;
export type Phase = (typeof Phase)[keyof typeof Phase];

export interface SentSignal {
    readonly name: NodeJS.Signals;
    readonly at: number;
}

/** One process of a host's daemon. Times are in milliseconds since the Unix epoch. */
export interface DaemonProcess {
    readonly host: number;
    readonly startedAt: number;
    readonly daemon: SiteDaemon;
    readonly signals: readonly SentSignal[];
    readonly exit?: DaemonExit;
    readonly endedAt?: number;
}

/** One process of a host's backend server. */
export interface ServerProcess {
    /** Distinguishes processes that used the same id. */
    readonly life: number;
    readonly host: number;
    readonly id: string;
    readonly service: string;
    readonly process: ChildProcess;
    readonly signals: readonly SentSignal[];
    readonly hasEnded: boolean;
    /** It was told to drain or to deregister. */
    readonly isLeaving: boolean;
    /** When the daemon acknowledged its departure. */
    readonly leftAt?: number;
}

/** A finished call, as its client saw it. */
export interface Call extends CallPlan {
    readonly host: number;
    readonly sentAt: number;
    readonly endedAt: number;
    /** The client closed the connection before the response was complete. */
    readonly hasLeft: boolean;
    readonly status?: number;
    readonly retryAfter?: string;
    /** The response was complete according to its HTTP framing. */
    readonly isComplete: boolean;
    /** The response body belongs to a run of this call. */
    readonly isOwn: boolean;
    readonly error?: string;
}

/** One execution of a call by a backend server. */
export interface Run extends ReportedRun {
    readonly life: number;
    /** Host of the backend server. */
    readonly host: number;
    /** Host whose address the backend server uses; differs from `host` after a swap of addresses. */
    readonly addressHost: number;
    readonly server: string;
    readonly service: string;
    /** Recent event loop stall of the soak process, which hosts the relays; 0 if no relay was involved. */
    readonly relaysStalledMs: number;
}

/** Period in which a relay held back bytes or reset connections. */
export interface Disruption {
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
 * Sections of a run and their writers: `phase` by run.ts, `injections` by timeline.ts, `disruptions` by
 * connections.ts, `daemons` by daemons.ts, `servers` and `runs` by servers.ts, `version` by store.ts, `calls` by
 * clients.ts, `findings` by checker.ts.
 */
export interface SoakSections {
    phase: Value<Phase>;
    injections: Feed<{ readonly fault: Fault; readonly step: FaultStep }>;
    disruptions: Value<readonly Disruption[]>;
    /** Current and earlier processes of every host, oldest first. */
    daemons: Value<readonly DaemonProcess[]>;
    servers: Value<readonly ServerProcess[]>;
    runs: Feed<Run>;
    version: Value<number>;
    calls: Feed<Call>;
    findings: Value<readonly Finding[]>;
}

export type SoakBoard = Blackboard<SoakSections>;

/** Maximum of undelivered entries in a feed. Delivery happens in the next microtask. */
const feedCapacity = 4_096;

export function createSoakBoard(): SoakBoard {
    return createBlackboard<SoakSections>({
        values: {
            phase: Phase.Starting,
            disruptions: [],
            daemons: [],
            servers: [],
            version: 0,
            findings: [],
        },
        feeds: { injections: feedCapacity, runs: feedCapacity, calls: feedCapacity },
    });
}
