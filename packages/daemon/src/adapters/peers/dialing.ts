import type { Neighbour } from "@tanagertray/core";
import { firstDialJitterMs, maxBackoffMs, minBackoffMs, minLinks } from "./constants.js";

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
    readonly candidates: readonly string[];
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
    const jitterByAddress = new Map<string, number>();
    const isUnlinked = (address: string) => address !== ownAddress && !linkedAddresses.has(address);
    options.neighbours
        .filter(({ host, address }) => !linkedHosts.has(host) && isUnlinked(address))
        .forEach(({ address }) => jitterByAddress.set(address, 0));
    if (linkedHosts.size < minLinks) {
        options.seeds
            .filter(address => isUnlinked(address) && !jitterByAddress.has(address))
            .forEach(address => jitterByAddress.set(address, firstDialJitterMs));
    }
    options.candidates
        .filter(address => isUnlinked(address) && !jitterByAddress.has(address))
        .forEach(address => jitterByAddress.set(address, firstDialJitterMs));
    const attempts = new Map<string, DialAttempt>();
    const addresses: string[] = [];
    for (const [address, jitterMs] of jitterByAddress) {
        const attempt = options.attempts.get(address) ?? {
            failures: 0,
            nextAttemptAt: now + jitterMs * random(),
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
