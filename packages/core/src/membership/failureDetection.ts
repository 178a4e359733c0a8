import { reconnectGraceMs, refutationTimeoutMs, suspicionIntervalMs } from "./constants.js";
import type { HostTable } from "./hostTable.js";
import { HostState, type HostRecord } from "./record.js";

/** A missing link to a neighbour: the time of its loss and of the last suspicion of the neighbour. */
export interface LinkOutage {
    readonly since: number;
    readonly suspectedAt?: number;
}

export type LinkOutages = ReadonlyMap<string, LinkOutage>;

export interface DetectionInput {
    readonly self: HostRecord;
    readonly table: HostTable;
    /** Hosts to which this host should have a link. */
    readonly neighbours: readonly string[];
    readonly linkedHosts: { has(host: string): boolean };
    readonly linkOutages: LinkOutages;
    readonly now: number;
}

export interface DetectionResult {
    /** Records of newly suspect or failed hosts, to merge and to send to other hosts. */
    readonly records: readonly HostRecord[];
    readonly linkOutages: LinkOutages;
}

/**
 * Marks neighbours in the own failure domain as suspect after reconnecting has failed, and suspect hosts of that domain
 * as failed if they did not refute the suspicion in time. Hosts of other failure domains are monitored by neighbours in
 * their own domain, so that a partition between domains does not cause a storm of records.
 */
export function detectFailures(input: DetectionInput): DetectionResult {
    const linkOutages = updateLinkOutages(input);
    const { self, table, now } = input;
    const records: HostRecord[] = [];
    for (const [host, outage] of linkOutages) {
        const record = table.records.get(host);
        if (record?.state === HostState.Alive && isSuspicionDue(outage, now)) {
            records.push({ ...record, state: HostState.Suspect });
            linkOutages.set(host, { ...outage, suspectedAt: now });
        }
    }
    for (const [host, since] of table.since) {
        const record = table.records.get(host);
        const isRefutationOverdue = record?.state === HostState.Suspect && now - since >= refutationTimeoutMs;
        if (isRefutationOverdue && record.failureDomain === self.failureDomain) {
            records.push({ ...record, state: HostState.Failed });
        }
    }
    return { records, linkOutages };
}

function updateLinkOutages(input: DetectionInput): Map<string, LinkOutage> {
    const { self, table, neighbours, linkedHosts, now } = input;
    const linkOutages = new Map<string, LinkOutage>();
    for (const host of neighbours) {
        const isMonitored =
            table.records.get(host)?.failureDomain === self.failureDomain && host !== self.host;
        if (isMonitored && !linkedHosts.has(host)) {
            linkOutages.set(host, input.linkOutages.get(host) ?? { since: now });
        }
    }
    return linkOutages;
}

function isSuspicionDue(outage: LinkOutage, now: number): boolean {
    const graceOver = now - outage.since >= reconnectGraceMs;
    return graceOver && (outage.suspectedAt === undefined || now - outage.suspectedAt >= suspicionIntervalMs);
}
