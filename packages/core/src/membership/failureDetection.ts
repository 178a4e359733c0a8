import { reconnectGraceMs, refutationMs, suspicionIntervalMs } from "./constants.js";
import type { HostTable } from "./hostTable.js";
import { HostState, type HostRecord } from "./record.js";

/** A neighbour without a link: since when, and when it was last suspected. */
export interface Absence {
    readonly since: number;
    readonly suspectedAt?: number;
}

export type Absences = ReadonlyMap<string, Absence>;

export interface Observation {
    readonly self: HostRecord;
    readonly table: HostTable;
    /** Hosts to which this host should hold a link. */
    readonly neighbours: readonly string[];
    readonly linked: { has(host: string): boolean };
    readonly absences: Absences;
    readonly now: number;
}

export interface Detection {
    /** Records with a worse state, to merge and to send. */
    readonly records: readonly HostRecord[];
    readonly absences: Absences;
}

/**
 * Suspects neighbours of the own failure domain to which reconnecting has failed, and fails the suspected hosts
 * of that domain that did not refute in time. Hosts of other failure domains are left to their own neighbours,
 * so that a partition between domains causes no storm of records.
 */
export function detectFailures(observation: Observation): Detection {
    const absences = noteAbsences(observation);
    const { self, table, now } = observation;
    const records: HostRecord[] = [];
    for (const [host, absence] of absences) {
        const record = table.records.get(host);
        if (record?.state === HostState.Alive && isSuspicionDue(absence, now)) {
            records.push({ ...record, state: HostState.Suspect });
            absences.set(host, { ...absence, suspectedAt: now });
        }
    }
    for (const [host, since] of table.since) {
        const record = table.records.get(host);
        const unrefuted = record?.state === HostState.Suspect && now - since >= refutationMs;
        if (unrefuted && record.failureDomain === self.failureDomain) {
            records.push({ ...record, state: HostState.Failed });
        }
    }
    return { records, absences };
}

function noteAbsences(observation: Observation): Map<string, Absence> {
    const { self, table, neighbours, linked, now } = observation;
    const absences = new Map<string, Absence>();
    for (const host of neighbours) {
        const watched = table.records.get(host)?.failureDomain === self.failureDomain && host !== self.host;
        if (watched && !linked.has(host)) {
            absences.set(host, observation.absences.get(host) ?? { since: now });
        }
    }
    return absences;
}

function isSuspicionDue(absence: Absence, now: number): boolean {
    const waited = now - absence.since >= reconnectGraceMs;
    return waited && (absence.suspectedAt === undefined || now - absence.suspectedAt >= suspicionIntervalMs);
}
