import { AnswerMode, StoreFault } from "@tanagertray/standin";
import type { SoakBoard } from "./board.js";

export const FaultKind = {
    /** Connections of a link are reset, and new ones are refused. */
    Cut: "cut",
    /** Open connections of a link are reset once. */
    Reset: "reset",
    /** Open connections of a link pass no bytes; new ones work. */
    SilenceOpen: "silenceOpen",
    SilenceAll: "silenceAll",
    SilenceRequests: "silenceRequests",
    SilenceAnswers: "silenceAnswers",
    Delay: "delay",
    StopDaemon: "stopDaemon",
    KillDaemon: "killDaemon",
    PauseDaemon: "pauseDaemon",
    KillAllDaemons: "killAllDaemons",
    /** The processes of all hosts are killed at once. */
    LosePower: "losePower",
    StopServer: "stopServer",
    KillServer: "killServer",
    PauseServer: "pauseServer",
    /** A backend server is killed and restarts with the same id. */
    RestartServer: "restartServer",
    /** A backend server answers in one of the faulty modes. */
    Answer: "answer",
    Drain: "drain",
    Leave: "leave",
    /** Backend servers of two services are killed and restart at each other's addresses. */
    SwapAddresses: "swapAddresses",
    Store: "store",
    ChangeConfiguration: "changeConfiguration",
} as const;
export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

/** Connections that pass through a relay, by the listener behind it. */
export const Link = { Peer: "peer", Server: "server", Store: "store" } as const;
export type Link = (typeof Link)[keyof typeof Link];

/** Which hosts a fault affects. */
export const FaultScope = {
    One: "one",
    /** One host whose connections pass through relays. */
    Relayed: "relayed",
    Pair: "pair",
    Some: "some",
    All: "all",
} as const;
export type FaultScope = (typeof FaultScope)[keyof typeof FaultScope];

export interface Fault {
    readonly kind: FaultKind;
    /** Start, in milliseconds after the beginning of the fault phase. */
    readonly at: number;
    /** Duration, or delay until the process restarts, in milliseconds. */
    readonly durationMs: number;
    /** Indexes of the affected hosts. */
    readonly hosts: readonly number[];
    /** Link, answer mode or store fault; empty for other kinds. */
    readonly detail: string;
}

export interface FaultPlan {
    /** Relative frequency in a schedule. Kinds with 0 are never drawn; `createSchedule` adds them at the end. */
    readonly weight: number;
    readonly scope: FaultScope;
    /** Minimum and maximum duration, in milliseconds. */
    readonly durationRangeMs: readonly [number, number];
    readonly details?: readonly string[];
}

const linkNames = Object.values(Link);
/** The store responds slowly, or with rows that have been replaced since. */
export const StoreDelay = { Slow: "slow", Stale: "stale" } as const;
export type StoreDelay = (typeof StoreDelay)[keyof typeof StoreDelay];
const storeDetails = [...Object.values(StoreFault), ...Object.values(StoreDelay)].filter(
    detail => detail !== StoreFault.None,
);

/**
 * Answer modes that no fault uses. The stand-in runs calls of `EndlessRefusal` although it refuses them, and a reset of
 * its process truncates the bodies of `Unframed` without a trace.
 */
const excludedModes: readonly string[] = [AnswerMode.EndlessRefusal, AnswerMode.Unframed, AnswerMode.Early];
/** Modes that caused foreign or truncated responses in the incident of 2026-12-04. They are drawn more often. */
const incidentModes: readonly string[] = [
    AnswerMode.DuplicatedLate,
    AnswerMode.RepeatedRefusal,
    AnswerMode.RepeatedRefusalWithoutId,
    AnswerMode.TruncatedHead,
    AnswerMode.RestartedHead,
];
const answerDetails = Object.values(AnswerMode)
    .filter(mode => mode !== AnswerMode.Complete && !excludedModes.includes(mode))
    .flatMap(mode => Array.from({ length: incidentModes.includes(mode) ? 4 : 1 }, () => mode));

const connectionFault = {
    weight: 2,
    scope: FaultScope.Relayed,
    durationRangeMs: [200, 4_000],
    details: linkNames,
} as const;

/** Frequency, scope and duration of each kind of fault. */
export const faultPlans = {
    [FaultKind.Cut]: connectionFault,
    [FaultKind.Reset]: connectionFault,
    [FaultKind.SilenceOpen]: connectionFault,
    [FaultKind.SilenceAll]: connectionFault,
    [FaultKind.SilenceRequests]: connectionFault,
    [FaultKind.SilenceAnswers]: connectionFault,
    [FaultKind.Delay]: connectionFault,
    [FaultKind.StopDaemon]: { weight: 5, scope: FaultScope.One, durationRangeMs: [0, 2_000] },
    [FaultKind.KillDaemon]: { weight: 4, scope: FaultScope.One, durationRangeMs: [0, 2_000] },
    [FaultKind.PauseDaemon]: { weight: 4, scope: FaultScope.One, durationRangeMs: [100, 4_500] },
    [FaultKind.KillAllDaemons]: { weight: 1, scope: FaultScope.All, durationRangeMs: [0, 1_500] },
    [FaultKind.LosePower]: { weight: 0, scope: FaultScope.All, durationRangeMs: [0, 2_000] },
    [FaultKind.StopServer]: { weight: 1, scope: FaultScope.One, durationRangeMs: [0, 2_000] },
    [FaultKind.KillServer]: { weight: 2, scope: FaultScope.One, durationRangeMs: [0, 2_000] },
    [FaultKind.PauseServer]: { weight: 3, scope: FaultScope.One, durationRangeMs: [100, 3_000] },
    [FaultKind.RestartServer]: { weight: 2, scope: FaultScope.One, durationRangeMs: [0, 1_000] },
    [FaultKind.Answer]: {
        weight: 18,
        scope: FaultScope.One,
        durationRangeMs: [500, 3_000],
        details: answerDetails,
    },
    [FaultKind.Drain]: { weight: 3, scope: FaultScope.One, durationRangeMs: [2_500, 5_000] },
    [FaultKind.Leave]: { weight: 3, scope: FaultScope.One, durationRangeMs: [2_500, 5_000] },
    [FaultKind.SwapAddresses]: { weight: 2, scope: FaultScope.Pair, durationRangeMs: [0, 1_000] },
    [FaultKind.Store]: {
        weight: 6,
        scope: FaultScope.Some,
        durationRangeMs: [500, 5_000],
        details: storeDetails,
    },
    [FaultKind.ChangeConfiguration]: { weight: 6, scope: FaultScope.One, durationRangeMs: [0, 0] },
} satisfies Record<FaultKind, FaultPlan>;

export interface FaultHandler {
    readonly begin: (fault: Fault) => void;
    readonly end?: (fault: Fault) => void;
}
export type FaultHandlers = { readonly [K in FaultKind]?: FaultHandler };

/** Calls the handlers when faults of their kinds begin and end. */
export function handleFaults(board: SoakBoard, handlers: FaultHandlers): void {
    board.follow("injections", ({ fault, step }) => handlers[fault.kind]?.[step]?.(fault));
}
