import type { Neighbour } from "@tanagertray/core";
import { fewLinks, joinJitterMs, maxBackoffMs, minBackoffMs } from "./constants.js";

/** What is known of connecting to one address. */
export interface Attempt {
    readonly failures: number;
    readonly nextAt: number;
    readonly inProgress: boolean;
}

export interface DialState {
    readonly neighbours: readonly Neighbour[];
    /** Addresses of the settings and of the domain row, for the first links. */
    readonly seeds: readonly string[];
    /** Addresses at which hosts without a link may be, such as those of other domains: tried however many links there are. */
    readonly strays: readonly string[];
    readonly ownAddress: string;
    readonly linkedHosts: { has(host: string): boolean; readonly size: number };
    readonly linkedAddresses: ReadonlySet<string>;
    readonly attempts: ReadonlyMap<string, Attempt>;
    readonly now: number;
    readonly random: () => number;
}

export interface DialChoice {
    /** Addresses to connect to now. */
    readonly dial: readonly string[];
    /** Attempts at the addresses that are still wanted. */
    readonly attempts: ReadonlyMap<string, Attempt>;
}

/** Chooses the addresses to connect to: neighbours without a link, and seeds while there are too few links. */
export function chooseDials(state: DialState): DialChoice {
    const { linkedHosts, linkedAddresses, ownAddress, now, random } = state;
    const wanted = new Map<string, number>();
    const isFree = (address: string) => address !== ownAddress && !linkedAddresses.has(address);
    state.neighbours
        .filter(({ host, address }) => !linkedHosts.has(host) && isFree(address))
        .forEach(({ address }) => wanted.set(address, 0));
    if (linkedHosts.size < fewLinks) {
        state.seeds
            .filter(address => isFree(address) && !wanted.has(address))
            .forEach(address => wanted.set(address, joinJitterMs));
    }
    state.strays
        .filter(address => isFree(address) && !wanted.has(address))
        .forEach(address => wanted.set(address, joinJitterMs));
    const attempts = new Map<string, Attempt>();
    const dial: string[] = [];
    for (const [address, jitterMs] of wanted) {
        const attempt = state.attempts.get(address) ?? {
            failures: 0,
            nextAt: now + jitterMs * random(),
            inProgress: false,
        };
        const due = !attempt.inProgress && now >= attempt.nextAt;
        attempts.set(address, due ? { ...attempt, inProgress: true } : attempt);
        if (due) {
            dial.push(address);
        }
    }
    return { dial, attempts };
}

/** The attempt after a connection that did not become a link; waits longer each time, with jitter. */
export function backOff(attempt: Attempt | undefined, now: number, random: () => number): Attempt {
    const failures = (attempt?.failures ?? 0) + 1;
    const limit = Math.min(maxBackoffMs, minBackoffMs * 2 ** Math.min(failures - 1, 16));
    return { failures, nextAt: now + (limit / 2) * (1 + random()), inProgress: false };
}
