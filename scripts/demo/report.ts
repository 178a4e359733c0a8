import { compareLedgers } from "@tanagertray/standin";
import type { DemoBoard } from "./board.js";
import { countHostsWithVersion } from "./status.js";

export interface Report {
    readonly deployment: string;
    readonly hosts: number;
    readonly failureDomains: number;
    readonly version: number;
    readonly inForceOn: number;
    readonly convergenceMs: number;
    readonly calls: number;
    readonly completed: number;
    readonly lost: number;
    readonly cut: number;
    readonly doubled: number;
    readonly refusedNotRun: number;
    readonly outcomeUnknown: number;
    readonly controlBytesPerHost: number;
}

export async function createReport(board: DemoBoard): Promise<Report> {
    const hosts = board.read("hosts");
    const { version, convergenceMs } = board.read("rollout");
    const { platform, peer } = board.read("controlBytes");
    const compared = compareLedgers(board.read("callLedgers"), board.read("runLedgers"));
    const { calls, completed, doubled, refusedNotRun, outcomeUnknown } = compared;
    // The demo also fails on calls that ran although they were refused as not run, and on answers to other calls.
    const lost = compared.lost + compared.falseNotRun;
    const cut = compared.cut + compared.wrongAnswers;
    return {
        deployment: board.read("deployment").deployment,
        hosts: hosts.length,
        failureDomains: new Set(hosts.map(host => host.failureDomain)).size,
        version,
        inForceOn: await countHostsWithVersion(hosts, version),
        convergenceMs,
        calls,
        completed,
        lost,
        cut,
        doubled,
        refusedNotRun,
        outcomeUnknown,
        controlBytesPerHost: Math.round((platform + (peer ?? 0)) / hosts.length),
    };
}

export function isSuccess(report: Report): boolean {
    const { lost, cut, doubled, inForceOn, hosts, calls } = report;
    return calls > 0 && lost + cut + doubled === 0 && inForceOn === hosts;
}

/** Formats the numbers of calls that were not completed, by operation, outcome and detail. */
export function describeIncompleteCalls(board: DemoBoard): string {
    const counts = new Map<string, number>();
    for (const { operation, service, outcome, detail } of board
        .read("callLedgers")
        .flatMap(ledger => ledger.calls)) {
        if (outcome !== "completed") {
            const key = `${service} ${operation}: ${outcome} (${detail})`;
            counts.set(key, (counts.get(key) ?? 0) + 1);
        }
    }
    return [...counts].map(([key, count]) => `${count} x ${key}`).join("; ") || "none";
}
