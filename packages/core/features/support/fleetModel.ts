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

/** Name of the platform as an end of a step. */
export const platformEnd = "platform";

export interface FleetHost {
    readonly name: string;
    readonly domain: string;
    readonly region: string;
    state: Distribution;
    joining: JoinProgress;
    head: Head | undefined;
    headReadAt: number | undefined;
    reachable: boolean;
    nextReadAt: number;
    /** `undefined` while the process runs. */
    downSince: number | undefined;
    pausedAt: number | undefined;
    /** Highest version that the host ever served, restarts included. */
    served: number;
    watermarks: Map<string, number>;
    /** Rises with each start of the process, so that results of an earlier one are dropped. */
    incarnation: number;
    /** Events that arrived during a pause. */
    waiting: (() => void)[];
}

/** What currently goes wrong. Chances are from 0 to 1. */
export interface Trouble {
    storeDown: boolean;
    storeSlow: boolean;
    objectsDown: boolean;
    staleChance: number;
    lostChance: number;
    /** Longest delay of a message, so that messages overtake each other. */
    longestDelayMs: number;
    readonly cutFromPlatform: Set<string>;
    /** Pairs of hosts whose messages are lost. */
    readonly cuts: Set<(a: FleetHost, b: FleetHost) => boolean>;
    /** Links whose messages are lost until the link is opened anew. */
    readonly silent: Set<string>;
    /** Follows every message and platform request that is sent. */
    trace: (now: number, line: string, value: unknown) => void;
}

export const readDeadlineMs = 2_000;
const services = [["s0"], ["s1", "s2"], []];

/** A process that has just started. The digit of its name gives what the host needs. */
export function startHost(name: string, spread: Spread, now: number): FleetHost {
    const domain = name.slice(0, 1);
    const region = domain === "c" ? "r2" : "r1";
    const interest = { services: services[Number(name[1])] ?? [], outsideCallers: name[1] === "2" };
    return {
        ...{ name, domain, region, state: createDistribution({ spread, region, interest }) },
        ...{ joining: startJoining(now), head: undefined, headReadAt: undefined, reachable: false },
        ...{ nextReadAt: 0, downSince: undefined, pausedAt: undefined, served: 0 },
        ...{ watermarks: new Map(), incarnation: 1, waiting: [] },
    };
}

export function createTrouble(): Trouble {
    return {
        storeDown: false,
        storeSlow: false,
        objectsDown: false,
        staleChance: 0,
        lostChance: 0,
        longestDelayMs: 100,
        cutFromPlatform: new Set(),
        cuts: new Set(),
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

export const stepsOfMessages: Partial<Record<PeerMessage["kind"], ChangeStep>> = {
    [MessageKind.Update]: ChangeStep.UpdateSent,
    [MessageKind.Parts]: ChangeStep.PartsFetched,
    [MessageKind.Heartbeat]: ChangeStep.Reported,
};

export const stepsOfRequests: Partial<Record<PlatformOperation, ChangeStep>> = {
    [PlatformOperation.ReadRow]: ChangeStep.Submitted,
    [PlatformOperation.ListRows]: ChangeStep.Generated,
    [PlatformOperation.WriteObject]: ChangeStep.PartsWritten,
};

/** The fault that a request meets. A read that is slower than its deadline is lost. */
export function chooseFault(
    trouble: Trouble,
    call: { host: FleetHost; request: PlatformRequest; delay: number; random: () => number },
): Fault {
    const { host, request, delay, random } = call;
    const isObject = request.operation === PlatformOperation.ReadObject;
    const isWrite = request.operation === PlatformOperation.WriteRow;
    const isAway = trouble.storeDown || trouble.cutFromPlatform.has(host.name);
    if (isAway || (isObject && trouble.objectsDown)) {
        return Fault.LostBefore;
    }
    if (delay > readDeadlineMs || (isWrite && random() < trouble.lostChance)) {
        return Fault.LostAfter;
    }
    return !isObject && random() < trouble.staleChance ? Fault.Stale : Fault.None;
}
