import type { Call, Finding, Run, SoakBoard } from "./board.js";
import { callChecks, CheckKind, daemonChecks, runChecks, versionOf, type History } from "./checks.js";

/** Calls of a run that may reach a backend server after their callers have left: the users allow a few. */
const maxGone = 3;

export interface Checking {
    readonly calls: ReadonlyMap<string, Call>;
    readonly runs: ReadonlyMap<string, readonly Run[]>;
    /** Calls that reached a backend server after their callers had left, also while they are few. */
    readonly gone: readonly Finding[];
    report(check: CheckKind, subject: string, text: string): void;
}

/** Holds what callers and backend servers saw against the promises, as it comes in. */
export function createChecking(board: SoakBoard): Checking {
    const findings = board.claimValue("findings");
    const calls = new Map<string, Call>();
    const runs = new Map<string, readonly Run[]>();
    const served = new Map<number, { version: number; at: number }>();
    const history: History = { board, calls, runs, served };
    const reported = new Set<string>();
    const gone: Finding[] = [];

    function report(check: CheckKind, subject: string, text: string): void {
        const key = `${check} ${subject}`;
        if (reported.has(key)) {
            return;
        }
        reported.add(key);
        const finding = { check, text: `${subject}: ${text}` };
        if (check === CheckKind.NoneGone && gone.push(finding) <= maxGone) {
            return;
        }
        const added = check === CheckKind.NoneGone && gone.length === maxGone + 1 ? gone : [finding];
        findings.update(before => [...before, ...added]);
    }

    function apply<T extends readonly unknown[]>(
        checks: { readonly [K in CheckKind]?: (...subject: T) => string | undefined },
        name: string,
        ...subject: T
    ): void {
        for (const [check, judge] of Object.entries(checks)) {
            const text = judge(...subject);
            if (text !== undefined) {
                report(check as CheckKind, name, text);
            }
        }
    }

    function judgeCall(call: Call): void {
        apply(
            callChecks,
            `call ${call.id} ${call.path} through h${call.host}`,
            call,
            runs.get(call.id) ?? [],
            history,
        );
    }

    board.follow("calls", call => {
        calls.set(call.id, call);
        judgeCall(call);
        const version = versionOf(call) ?? 0;
        if (call.status === 200 && version > (served.get(call.host)?.version ?? 0)) {
            served.set(call.host, { version, at: call.endedAt });
        }
    });
    board.follow("runs", run => {
        runs.set(run.id, [...(runs.get(run.id) ?? []), run]);
        apply(runChecks, `run of ${run.id}`, run, history);
        const call = calls.get(run.id);
        if (call !== undefined) {
            judgeCall(call);
        }
    });
    board.observe(["daemons"], () =>
        board
            .read("daemons")
            .forEach(life =>
                apply(daemonChecks, `daemon of h${life.host}, started at ${life.startedAt}`, life, history),
            ),
    );
    return { calls, runs, gone, report };
}
