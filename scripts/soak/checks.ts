import { AnswerMode } from "@tanagertray/standin";
import type { Call, DaemonLife, Run, SentSignal, SoakBoard } from "./board.js";
import { CallKind } from "./call.js";
import { Link } from "./faults.js";

export const CheckKind = {
    /** A success is the whole answer to the caller's own call. */
    OwnAnswer: "ownAnswer",
    /** A call that may not be repeated runs at most once. */
    AtMostOnce: "atMostOnce",
    /** What was refused as not run has not run and never runs. */
    NotRunIsTrue: "notRunIsTrue",
    /** A refusal names a time to come back. */
    TimeToComeBack: "timeToComeBack",
    /** No call is denied whose route is in every version. */
    NoneDenied: "noneDenied",
    /** No daemon goes back to an older version. */
    NoOlderVersion: "noOlderVersion",
    /** A call does not reach a backend server long after its caller has left. */
    NoneGone: "noneGone",
    /** A backend server gets no call when the time after its leaving has passed. */
    LeavingGetsNoWork: "leavingGetsNoWork",
    /** A call runs at a backend server of its service. */
    OwnService: "ownService",
    /** A daemon that is asked to stop cuts no call that it has read. */
    NoneCut: "noneCut",
    /** A daemon does not end by itself. */
    StaysUp: "staysUp",
    /** All services are served soon after the faults. */
    ServedAgain: "servedAgain",
} as const;
export type CheckKind = (typeof CheckKind)[keyof typeof CheckKind];

/** What has happened so far. */
export interface History {
    readonly board: SoakBoard;
    readonly calls: ReadonlyMap<string, Call>;
    readonly runs: ReadonlyMap<string, readonly Run[]>;
    /** Highest version that each host served, and when the call for it was answered. */
    readonly served: ReadonlyMap<number, { readonly version: number; readonly at: number }>;
}

/** Statuses that say that a call has not run and never will. */
const notRun: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Answers whose body ends with the connection. */
const unframed: ReadonlySet<AnswerMode> = new Set([AnswerMode.EndlessBody, AnswerMode.UnframedReset]);
const returnable: ReadonlySet<number> = new Set([429, 503]);
const deniedStatus = 404;
const lostStatus = 502;
/** Time for which connections may carry what a backend server wrote before, in milliseconds. */
const faultyMs = 2_000;
/** Time after the leaving of a caller, in milliseconds. */
const goneMs = 500;
/** A daemon ends a call that much before its deadline, in milliseconds. */
const deadlineMarginMs = 100;
/** Drain time-out of backend servers, in milliseconds. */
const drainMs = 2_000;

export function versionOf({ path }: Call): number | undefined {
    const [, version] = /^\/v(\d+)\//.exec(path) ?? [];
    return version === undefined ? undefined : Number(version);
}

/** Judges a call that has ended, when it ends and whenever it runs afterwards. A text describes a broken promise. */
type CallCheck = (call: Call, runs: readonly Run[], history: History) => string | undefined;

export const callChecks: { readonly [K in CheckKind]?: CallCheck } = {
    [CheckKind.OwnAnswer](call, runs, history) {
        // A backend server that ends while it writes a body without a length ends that body as HTTP/1.1 says.
        const isEnded = runs.some(run => unframed.has(run.mode) && serverFailed(call, run, history));
        return call.status === 200 && call.isComplete && !call.isOwn && !isEnded
            ? "a complete answer is not that of the call"
            : undefined;
    },
    [CheckKind.AtMostOnce]: ({ kind }, runs) =>
        kind !== CallKind.Safe && runs.length > 1 ? `ran ${runs.length} times` : undefined,
    [CheckKind.NotRunIsTrue]: ({ status = 0 }, runs) =>
        notRun.has(status) && runs.length > 0 ? `ran, and its caller got ${status}` : undefined,
    [CheckKind.TimeToComeBack]: ({ status = 0, retryAfter }) =>
        returnable.has(status) && !(Number(retryAfter) > 0) ? `${status} with "${retryAfter}"` : undefined,
    [CheckKind.NoneDenied]: call =>
        call.status === deniedStatus && versionOf(call) === undefined ? "its route was denied" : undefined,
    [CheckKind.NoOlderVersion](call, _runs, { served }) {
        const version = versionOf(call);
        const before = served.get(call.host);
        const isOlder = call.status === 200 && version !== undefined && version < (before?.version ?? 0);
        return isOlder && (before?.at ?? 0) < call.sentAt
            ? `version ${version} was served after ${before?.version}`
            : undefined;
    },
    [CheckKind.NoneGone](call, runs, history) {
        const late = runs
            .map(run => ({ run, lateMs: sentBefore(run) - call.endedAt }))
            .find(({ lateMs }) => call.hasLeft && lateMs > goneMs);
        // No daemon can call back bytes that a relay holds.
        return late === undefined || wasHeldBack(call, late.run, history)
            ? undefined
            : `reached ${late.run.server} ${late.lateMs} ms after its caller had left`;
    },
    [CheckKind.NoneCut](call, runs, history) {
        const isCut = call.error !== undefined || call.status === lostStatus;
        const isOver = call.endedAt - call.sentAt >= call.deadlineMs - deadlineMarginMs;
        if (!isCut || isOver || runs.length === 0) {
            return undefined;
        }
        const daemons = [call, ...runs].flatMap(({ host }) => daemonsDuring(history, host, call));
        const signals = daemons.flatMap(life => life.signals);
        const asked = signals.find(({ name, at }) => name === "SIGTERM" && at <= call.endedAt);
        // A process that was paused or killed as well made no promise.
        const isAlone = signals.every(({ name }) => name === "SIGTERM");
        // What the backend server or a connection to it breaks is not cut by the daemon.
        const isBroken = runs.some(
            run =>
                wasFaulty(run, history) ||
                wasHeldBack(call, run, history) ||
                serverFailed(call, run, history),
        );
        return asked !== undefined && isAlone && !isBroken
            ? `${call.error ?? call.status}, ${call.endedAt - asked.at} ms after a daemon on its way was asked to stop`
            : undefined;
    },
};

/** Processes of the host's daemon that ran during a call. */
function daemonsDuring({ board }: History, host: number, { sentAt, endedAt }: Call): readonly DaemonLife[] {
    const lives = board.read("daemons").filter(life => life.host === host && life.startedAt <= endedAt);
    return lives.filter(({ endedAt: end = Infinity }) => end >= sentAt);
}

/** Whether the backend server of a run answered in another way then or shortly before, also on kept connections. */
function wasFaulty({ life, startedAt }: Run, { runs }: History): boolean {
    return [...runs.values()]
        .flat()
        .some(
            run =>
                run.life === life &&
                run.mode !== AnswerMode.Complete &&
                Math.abs(startedAt - run.startedAt) < faultyMs,
        );
}

/** The earliest time at which a call may have reached its backend server, whose process may not have run since. */
function sentBefore({ startedAt, stalledMs, relaysStalledMs }: Run): number {
    return startedAt - stalledMs - relaysStalledMs;
}

/** Whether a relay before the daemon or the backend server of a run held bytes or reset connections during the call. */
function wasHeldBack(call: Call, { host, addressHost, startedAt }: Run, { board }: History): boolean {
    const hosts: Readonly<Record<Link, number | undefined>> = {
        [Link.Peer]: host,
        [Link.Server]: addressHost,
        [Link.Store]: undefined,
    };
    return board
        .read("disturbances")
        .some(
            held =>
                hosts[held.link] === held.host &&
                held.from <= Math.max(startedAt, call.endedAt) &&
                held.to >= call.sentAt,
        );
}

/** Whether the backend server of a run was paused or ended during the call. */
function serverFailed(call: Call, run: Run, { board }: History): boolean {
    const { signals = [] } = board.read("servers").find(({ life }) => life === run.life) ?? {};
    return wasHit(signals, call.sentAt, Math.max(run.startedAt, call.endedAt));
}

/** Whether a process was paused or ended in this time. */
function wasHit(signals: readonly SentSignal[], from: number, to: number): boolean {
    return signals.some(({ name, at }, place) => {
        const resumed = signals.slice(place + 1).find(later => later.name === "SIGCONT")?.at ?? Infinity;
        const until = name === "SIGSTOP" ? resumed : at;
        return name !== "SIGCONT" && at <= to && until >= from;
    });
}

type RunCheck = (run: Run, history: History) => string | undefined;

export const runChecks: { readonly [K in CheckKind]?: RunCheck } = {
    [CheckKind.LeavingGetsNoWork](run, { board }) {
        const { leftAt } = board.read("servers").find(({ life }) => life === run.life) ?? {};
        return leftAt !== undefined && sentBefore(run) > leftAt + drainMs
            ? `began at ${run.server} ${sentBefore(run) - leftAt} ms after its leaving was acknowledged`
            : undefined;
    },
    [CheckKind.OwnService]: ({ url, service, server }) =>
        /^\/v\d/.test(url) || url.split("/")[1]?.endsWith(`-${service}`)
            ? undefined
            : `${url} ran at ${server} of ${service}`,
};

type DaemonCheck = (life: DaemonLife, history: History) => string | undefined;

export const daemonChecks: { readonly [K in CheckKind]?: DaemonCheck } = {
    [CheckKind.StaysUp]({ exit, signals, host, startedAt, endedAt = 0 }, { calls }) {
        if (exit === undefined) {
            return undefined;
        }
        const wasKilled = exit.signal === "SIGKILL" && signals.some(({ name }) => name === "SIGKILL");
        const wasAsked = signals.some(({ name }) => name === "SIGTERM");
        const hasAnswered = [...calls.values()].some(
            call =>
                call.host === host &&
                call.sentAt >= startedAt &&
                call.endedAt <= endedAt &&
                call.status !== undefined,
        );
        // Before the program runs, the system ends the process.
        const wasStopped = wasAsked && (exit.code === 0 || (exit.signal === "SIGTERM" && !hasAnswered));
        return wasKilled || wasStopped ? undefined : `ended with ${exit.code ?? exit.signal}`;
    },
};
