import { AnswerMode, StoreFault } from "@tanagertray/standin";
import type { SoakBoard } from "./board.js";

export const FaultKind = {
    /** Connections of a link are reset, and new ones refused. */
    Cut: "cut",
    /** Open connections of a link are reset once. */
    Reset: "reset",
    /** Open connections of a link pass nothing; new ones work. */
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
    /** A backend server is killed and starts again under the same id. */
    RestartServer: "restartServer",
    /** A backend server answers in another way. */
    Answer: "answer",
    Drain: "drain",
    Leave: "leave",
    /** Backend servers of two services are killed and start at each other's addresses. */
    SwapAddresses: "swapAddresses",
    Store: "store",
    ChangeConfiguration: "changeConfiguration",
} as const;
export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

/** Connections that pass a relay, by what listens behind it. */
export const Link = { Peer: "peer", Server: "server", Store: "store" } as const;
export type Link = (typeof Link)[keyof typeof Link];

/** Which hosts a fault concerns. */
export const Reach = {
    One: "one",
    /** One host whose connections pass relays. */
    Relayed: "relayed",
    Pair: "pair",
    Some: "some",
    All: "all",
} as const;
export type Reach = (typeof Reach)[keyof typeof Reach];

export interface Fault {
    readonly kind: FaultKind;
    /** Milliseconds after the first fault may begin. */
    readonly at: number;
    /** Duration, or time until a process starts again, in milliseconds. */
    readonly ms: number;
    /** Numbers of the hosts, counted from 0. */
    readonly hosts: readonly number[];
    /** The link, the way to answer or the fault of the store. */
    readonly detail: string;
}

export interface FaultPlan {
    /** Share among the faults of a schedule; 0 leaves the kind to its end. */
    readonly weight: number;
    readonly reach: Reach;
    /** Least and greatest duration, in milliseconds. */
    readonly ms: readonly [number, number];
    readonly details?: readonly string[];
}

const links = Object.values(Link);
/** The store with an answer that comes late, and with rows that were replaced since. */
export const StoreDelay = { Slow: "slow", Stale: "stale" } as const;
export type StoreDelay = (typeof StoreDelay)[keyof typeof StoreDelay];
const storeDetails = [...Object.values(StoreFault), ...Object.values(StoreDelay)].filter(
    detail => detail !== StoreFault.None,
);

/** The stand-in runs the calls of the first, and a reset of its process cuts those of the second without a trace. */
const leftOut: readonly string[] = [AnswerMode.EndlessRefusal, AnswerMode.Unframed, AnswerMode.Early];
/** Ways to answer that once gave callers foreign or cut answers (incident of 2026-12-04). They come more often. */
const incidentModes: readonly string[] = [
    AnswerMode.DuplicatedLate,
    AnswerMode.RepeatedRefusal,
    AnswerMode.RepeatedRefusalWithoutId,
    AnswerMode.TruncatedHead,
    AnswerMode.RestartedHead,
];
const answerDetails = Object.values(AnswerMode)
    .filter(mode => mode !== AnswerMode.Complete && !leftOut.includes(mode))
    .flatMap(mode => Array.from({ length: incidentModes.includes(mode) ? 4 : 1 }, () => mode));

const connection = { weight: 2, reach: Reach.Relayed, ms: [200, 4_000], details: links } as const;

/** How often, where and for how long the faults of a schedule occur. */
export const faultPlans = {
    [FaultKind.Cut]: connection,
    [FaultKind.Reset]: connection,
    [FaultKind.SilenceOpen]: connection,
    [FaultKind.SilenceAll]: connection,
    [FaultKind.SilenceRequests]: connection,
    [FaultKind.SilenceAnswers]: connection,
    [FaultKind.Delay]: connection,
    [FaultKind.StopDaemon]: { weight: 5, reach: Reach.One, ms: [0, 2_000] },
    [FaultKind.KillDaemon]: { weight: 4, reach: Reach.One, ms: [0, 2_000] },
    [FaultKind.PauseDaemon]: { weight: 4, reach: Reach.One, ms: [100, 4_500] },
    [FaultKind.KillAllDaemons]: { weight: 1, reach: Reach.All, ms: [0, 1_500] },
    [FaultKind.LosePower]: { weight: 0, reach: Reach.All, ms: [0, 2_000] },
    [FaultKind.StopServer]: { weight: 1, reach: Reach.One, ms: [0, 2_000] },
    [FaultKind.KillServer]: { weight: 2, reach: Reach.One, ms: [0, 2_000] },
    [FaultKind.PauseServer]: { weight: 3, reach: Reach.One, ms: [100, 3_000] },
    [FaultKind.RestartServer]: { weight: 2, reach: Reach.One, ms: [0, 1_000] },
    [FaultKind.Answer]: { weight: 18, reach: Reach.One, ms: [500, 3_000], details: answerDetails },
    [FaultKind.Drain]: { weight: 3, reach: Reach.One, ms: [2_500, 5_000] },
    [FaultKind.Leave]: { weight: 3, reach: Reach.One, ms: [2_500, 5_000] },
    [FaultKind.SwapAddresses]: { weight: 2, reach: Reach.Pair, ms: [0, 1_000] },
    [FaultKind.Store]: { weight: 6, reach: Reach.Some, ms: [500, 5_000], details: storeDetails },
    [FaultKind.ChangeConfiguration]: { weight: 6, reach: Reach.One, ms: [0, 0] },
} satisfies Record<FaultKind, FaultPlan>;

export interface FaultHandler {
    readonly begin: (fault: Fault) => void;
    readonly end?: (fault: Fault) => void;
}
export type FaultHandlers = { readonly [K in FaultKind]?: FaultHandler };

/** Carries out those faults of the board for which there is a handler. */
export function followFaults(board: SoakBoard, handlers: FaultHandlers): void {
    board.follow("injections", ({ fault, step }) => handlers[fault.kind]?.[step]?.(fault));
}
