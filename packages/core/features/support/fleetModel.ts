import {
    createDistribution,
    MessageKind,
    PlatformOperation,
    startJoining,
    type Distribution,
    type Head,
    type JoinProgress,
    type PeerMessage,
    type PlatformRequest,
    type Spread,
} from "@tanagertray/core";
import { Fault } from "./fakePlatform.js";

/** Steps of a change of the configuration at which a fault can be injected. */
export const ChangeStep = {
    Submitted: "submitted",
    Generated: "generated",
    PartsWritten: "parts written",
    HeadMoved: "head moved",
    AnswerLost: "answer lost",
    HeadRead: "read by a domain",
    UpdateSent: "update sent",
    PartsFetched: "parts fetched",
    Replaced: "configuration replaced",
    Reported: "version reported",
} as const;
export type ChangeStep = (typeof ChangeStep)[keyof typeof ChangeStep];

/** Name of the platform where it is the sender or receiver of a step. */
export const platformName = "platform";

export interface FleetHost {
    readonly name: string;
    readonly domain: string;
    readonly region: string;
    state: Distribution;
    joining: JoinProgress;
    head: Head | undefined;
    headAskedAt: number | undefined;
    reachable: boolean;
    nextReadAt: number;
    /** `undefined` while the process runs. */
    downSince: number | undefined;
    pausedAt: number | undefined;
    /** Highest version that the host has served, across restarts. */
    served: number;
    watermarks: Map<string, number>;
    /** Increases with each start of the process, so that results for an earlier one are dropped. */
    incarnation: number;
    /** Events that arrived during a pause and run after it. */
    waiting: (() => void)[];
}

/** Faults that are currently injected. Chances are from 0 to 1. */
export interface InjectedFaults {
    storeDown: boolean;
    storeSlow: boolean;
    objectsDown: boolean;
    staleReadChance: number;
    lostAnswerChance: number;
    /** Longest delay of a message; long delays make messages overtake each other. */
    maxMessageDelayMs: number;
    readonly cutFromPlatform: Set<string>;
    /** Pairs of hosts whose messages are lost. */
    readonly blockedPairs: Set<(a: FleetHost, b: FleetHost) => boolean>;
    /** Links whose messages are lost until the link is opened again. */
    readonly silent: Set<string>;
    /** Is called for every message and platform request that is sent. */
    trace: (now: number, line: string, value: unknown) => void;
}

export const readDeadlineMs = 2_000;
const servicesByDigit = [["s0"], ["s1", "s2"], []];

/** A newly started process. The digit in the host name selects its services and whether it accepts outside callers. */
export function startHost(name: string, spread: Spread, now: number): FleetHost {
    const domain = name.slice(0, 1);
    const region = domain === "c" ? "r2" : "r1";
    const interest = { services: servicesByDigit[Number(name[1])] ?? [], outsideCallers: name[1] === "2" };
    return {
        ...{ name, domain, region, state: createDistribution({ spread, region, interest }) },
        ...{ joining: startJoining(now), head: undefined, headAskedAt: undefined, reachable: false },
        ...{ nextReadAt: 0, downSince: undefined, pausedAt: undefined, served: 0 },
        ...{ watermarks: new Map(), incarnation: 1, waiting: [] },
    };
}

export function createInjectedFaults(): InjectedFaults {
    return {
        storeDown: false,
        storeSlow: false,
        objectsDown: false,
        staleReadChance: 0,
        lostAnswerChance: 0,
        maxMessageDelayMs: 100,
        cutFromPlatform: new Set(),
        blockedPairs: new Set(),
        silent: new Set(),
        trace: () => {},
    };
}

/** Random numbers from 0 inclusive to 1 exclusive, the same for the same seed (mulberry32). */
export function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (state + 0x6d2b79f5) | 0;
        let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
        mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
    };
}

export const stepByMessageKind: Partial<Record<PeerMessage["kind"], ChangeStep>> = {
    [MessageKind.Update]: ChangeStep.UpdateSent,
    [MessageKind.Parts]: ChangeStep.PartsFetched,
    [MessageKind.Heartbeat]: ChangeStep.Reported,
};

export const stepByOperation: Partial<Record<PlatformOperation, ChangeStep>> = {
    [PlatformOperation.ReadRow]: ChangeStep.Submitted,
    [PlatformOperation.ListRows]: ChangeStep.Generated,
    [PlatformOperation.WriteObject]: ChangeStep.PartsWritten,
};

/** Chooses the fault of a request. An answer that arrives after the read deadline counts as lost. */
export function chooseFault(
    injected: InjectedFaults,
    call: { host: FleetHost; request: PlatformRequest; delay: number; random: () => number },
): Fault {
    const { host, request, delay, random } = call;
    const isObject = request.operation === PlatformOperation.ReadObject;
    const isWrite = request.operation === PlatformOperation.WriteRow;
    const isUnreachable = injected.storeDown || injected.cutFromPlatform.has(host.name);
    if (isUnreachable || (isObject && injected.objectsDown)) {
        return Fault.LostBefore;
    }
    if (delay > readDeadlineMs || (isWrite && random() < injected.lostAnswerChance)) {
        return Fault.LostAfter;
    }
    return !isObject && random() < injected.staleReadChance ? Fault.Stale : Fault.None;
}
