import type { Call, Finding, Run, SoakBoard } from "./board.js";
import { callChecks, CheckKind, daemonChecks, runChecks, versionOf, type History } from "./checks.js";

/** Runs after the caller's disconnect that one soak run tolerates; the guarantee to users allows a few. */
const maxLateRuns = 3;

export interface Checker {
    readonly calls: ReadonlyMap<string, Call>;
    readonly runs: ReadonlyMap<string, readonly Run[]>;
    /** Every call that reached a backend server after its caller had disconnected, including tolerated ones. */
    readonly lateRuns: readonly Finding[];
    report(check: CheckKind, subject: string, text: string): void;
}

/** Checks the records of callers and backend servers against the guarantees as they arrive. */
export function createChecker(board: SoakBoard): Checker {
    const findings = board.claimValue("findings");
    const calls = new Map<string, Call>();
    const runs = new Map<string, readonly Run[]>();
    const servedVersions = new Map<number, { version: number; at: number }>();
    const history: History = { board, calls, runs, servedVersions };
    const reported = new Set<string>();
    const lateRuns: Finding[] = [];

    function report(check: CheckKind, subject: string, text: string): void {
        const key = `${check} ${subject}`;
        if (reported.has(key)) {
            return;
        }
        reported.add(key);
        const finding = { check, text: `${subject}: ${text}` };
        if (check === CheckKind.NoRunAfterDisconnect && lateRuns.push(finding) <= maxLateRuns) {
            return;
        }
        const added =
            check === CheckKind.NoRunAfterDisconnect && lateRuns.length === maxLateRuns + 1
                ? lateRuns
                : [finding];
        findings.update(before => [...before, ...added]);
    }

    function applyChecks<T extends readonly unknown[]>(
        checks: { readonly [K in CheckKind]?: (...subject: T) => string | undefined },
        name: string,
        ...subject: T
    ): void {
        for (const [check, evaluate] of Object.entries(checks)) {
            const text = evaluate(...subject);
            if (text !== undefined) {
                report(check as CheckKind, name, text);
            }
        }
    }

    function checkCall(call: Call): void {
        applyChecks(
            callChecks,
            `call ${call.id} ${call.path} through h${call.host}`,
            call,
            runs.get(call.id) ?? [],
            history,
        );
    }

    board.follow("calls", call => {
        calls.set(call.id, call);
        checkCall(call);
        const version = versionOf(call) ?? 0;
        if (call.status === 200 && version > (servedVersions.get(call.host)?.version ?? 0)) {
            servedVersions.set(call.host, { version, at: call.endedAt });
        }
    });
    board.follow("runs", run => {
        runs.set(run.id, [...(runs.get(run.id) ?? []), run]);
        applyChecks(runChecks, `run of ${run.id}`, run, history);
        const call = calls.get(run.id);
        if (call !== undefined) {
            checkCall(call);
        }
    });
    board.observe(["daemons"], () =>
        board
            .read("daemons")
            .forEach(daemon =>
                applyChecks(
                    daemonChecks,
                    `daemon of h${daemon.host}, started at ${daemon.startedAt}`,
                    daemon,
                    history,
                ),
            ),
    );
    return { calls, runs, lateRuns, report };
}
