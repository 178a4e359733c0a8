import type { Neighbour } from "@tanagertray/core";
import type { CandidateAddress } from "./candidateAddresses.js";
import { firstDialJitterMs, maxBackoffMs, minBackoffMs, minLinks, seedDialJitterMs } from "./constants.js";

/** State of the connection attempts to one address. */
export interface DialAttempt {
    readonly failures: number;
    readonly nextAttemptAt: number;
    readonly inProgress: boolean;
}

export interface DialOptions {
    readonly neighbours: readonly Neighbour[];
    /** Addresses in the settings and in the domain row. Dialed only while there are too few links. */
    readonly seeds: readonly string[];
    /** Addresses where hosts without a link may listen, such as hosts of other domains. Dialed at any number of links. */
    readonly candidates: readonly CandidateAddress[];
    readonly ownAddress: string;
    readonly linkedHosts: { has(host: string): boolean; readonly size: number };
    readonly linkedAddresses: ReadonlySet<string>;
    readonly attempts: ReadonlyMap<string, DialAttempt>;
    readonly now: number;
    readonly random: () => number;
}

export interface DialChoice {
    /** Addresses to dial now. */
    readonly addresses: readonly string[];
    /** State of all addresses that are still to be linked. */
    readonly attempts: ReadonlyMap<string, DialAttempt>;
}

/** Chooses the addresses to dial: unlinked neighbours and candidates, and seeds while there are too few links. */
export function chooseDials(options: DialOptions): DialChoice {
    const { linkedHosts, linkedAddresses, ownAddress, now, random } = options;
    /** Shortest delay and range of the random delay of the first attempt, by address. */
    const delays = new Map<string, { readonly minMs: number; readonly jitterMs: number }>();
    const isUnlinked = (address: string) => address !== ownAddress && !linkedAddresses.has(address);
    options.neighbours
        .filter(({ host, address }) => !linkedHosts.has(host) && isUnlinked(address))
        .forEach(({ address }) => delays.set(address, { minMs: 0, jitterMs: 0 }));
    if (linkedHosts.size < minLinks) {
        options.seeds
            .filter(address => isUnlinked(address) && !delays.has(address))
            .forEach(address => delays.set(address, { minMs: 0, jitterMs: seedDialJitterMs }));
    }
    options.candidates
        .filter(({ address }) => isUnlinked(address) && !delays.has(address))
        .forEach(({ address, minDelayMs }) =>
            delays.set(address, { minMs: minDelayMs, jitterMs: firstDialJitterMs }),
        );
    const attempts = new Map<string, DialAttempt>();
    const addresses: string[] = [];
    for (const [address, { minMs, jitterMs }] of delays) {
        const attempt = options.attempts.get(address) ?? {
            failures: 0,
            nextAttemptAt: now + minMs + jitterMs * random(),
            inProgress: false,
        };
        const due = !attempt.inProgress && now >= attempt.nextAttemptAt;
        attempts.set(address, due ? { ...attempt, inProgress: true } : attempt);
        if (due) {
            addresses.push(address);
        }
    }
    return { addresses, attempts };
}

/** Schedules the next attempt after a failed connection, with exponential backoff and jitter. */
export function scheduleRetry(
    attempt: DialAttempt | undefined,
    now: number,
    random: () => number,
): DialAttempt {
    const failures = (attempt?.failures ?? 0) + 1;
    const maxDelayMs = Math.min(maxBackoffMs, minBackoffMs * 2 ** Math.min(failures - 1, 16));
    return { failures, nextAttemptAt: now + (maxDelayMs / 2) * (1 + random()), inProgress: false };
}
