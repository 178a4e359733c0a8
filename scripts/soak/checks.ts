import { AnswerMode } from "@tanagertray/standin";
import type { Call, DaemonProcess, Run, SentSignal, SoakBoard } from "./board.js";
import { CallKind } from "./call.js";
import { Link } from "./faults.js";

export const CheckKind = {
    /** A successful response is the complete response to the caller's own call. */
    OwnAnswer: "ownAnswer",
    /** A call that is not repeatable runs at most once. */
    AtMostOnce: "atMostOnce",
    /** A call that was refused as not run has not run and never will. */
    RefusedNeverRuns: "notRunIsTrue",
    /** A refusal has a `Retry-After` header. */
    RefusalHasRetryAfter: "timeToComeBack",
    /** No call gets 404 when its route is in every version. */
    NoRouteDenied: "noneDenied",
    /** No daemon reverts to an older version. */
    NoOlderVersion: "noOlderVersion",
    /** A call does not reach a backend server long after its caller has disconnected. */
    NoRunAfterDisconnect: "noneGone",
    /** A backend server gets no call after the drain timeout that follows its departure. */
    NoRunAfterDrain: "leavingGetsNoWork",
    /** A call runs only on a backend server of its service. */
    OwnService: "ownService",
    /** A daemon that shuts down gracefully aborts no call that it has read. */
    NoCallCutByShutdown: "noneCut",
    /** A daemon exits only when it gets a signal. */
    DaemonStaysUp: "staysUp",
    /** All services respond again soon after the faults have ended. */
    RecoversAfterFaults: "servedAgain",
} as const;
export type CheckKind = (typeof CheckKind)[keyof typeof CheckKind];

/** Records of the soak run so far. */
export interface History {
    readonly board: SoakBoard;
    readonly calls: ReadonlyMap<string, Call>;
    readonly runs: ReadonlyMap<string, readonly Run[]>;
    /** Highest version that each host served, and when the response to the call for it ended. */
    readonly servedVersions: ReadonlyMap<number, { readonly version: number; readonly at: number }>;
}

/** Statuses of calls that have not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Answer modes whose body ends when the connection closes. */
const unframedModes: ReadonlySet<AnswerMode> = new Set([AnswerMode.EndlessBody, AnswerMode.UnframedReset]);
const retryableStatuses: ReadonlySet<number> = new Set([429, 503]);
const noRouteStatus = 404;
const outcomeUnknownStatus = 502;
/** How long kept connections may still carry bytes of an earlier faulty response, in milliseconds. */
const faultyAnswerWindowMs = 2_000;
/** Time after a caller's disconnect in which its call may still reach a backend server, in milliseconds. */
const disconnectToleranceMs = 500;
/** How long before its deadline a daemon ends a call, in milliseconds. */
const deadlineMarginMs = 100;
/** Drain timeout of backend servers, in milliseconds. */
const drainTimeoutMs = 2_000;

export function versionOf({ path }: Call): number | undefined {
    const [, version] = /^\/v(\d+)\//.exec(path) ?? [];
    return version === undefined ? undefined : Number(version);
}

/** Checks a finished call, when it ends and at every later run of it. Returns a description of a violation. */
type CallCheck = (call: Call, runs: readonly Run[], history: History) => string | undefined;

export const callChecks: { readonly [K in CheckKind]?: CallCheck } = {
    [CheckKind.OwnAnswer](call, runs, history) {
        // When a backend server exits while it writes a body without a length, the closed connection completes that
        // body according to HTTP/1.1.
        const wasServerInterrupted = runs.some(
            run => unframedModes.has(run.mode) && wasServerPausedOrEnded(call, run, history),
        );
        return call.status === 200 && call.isComplete && !call.isOwn && !wasServerInterrupted
            ? "a complete response does not belong to the call"
            : undefined;
    },
    [CheckKind.AtMostOnce]: ({ kind }, runs) =>
        kind !== CallKind.Safe && runs.length > 1 ? `ran ${runs.length} times` : undefined,
    [CheckKind.RefusedNeverRuns]: ({ status = 0 }, runs) =>
        notRunStatuses.has(status) && runs.length > 0 ? `ran although its caller got ${status}` : undefined,
    [CheckKind.RefusalHasRetryAfter]: ({ status = 0, retryAfter }) =>
        retryableStatuses.has(status) && !(Number(retryAfter) > 0)
            ? `${status} with the Retry-After header "${retryAfter}"`
            : undefined,
    [CheckKind.NoRouteDenied]: call =>
        call.status === noRouteStatus && versionOf(call) === undefined
            ? "got 404 although its route is in every version"
            : undefined,
    [CheckKind.NoOlderVersion](call, _runs, { servedVersions }) {
        const version = versionOf(call);
        const newest = servedVersions.get(call.host);
        const isOlder = call.status === 200 && version !== undefined && version < (newest?.version ?? 0);
        return isOlder && (newest?.at ?? 0) < call.sentAt
            ? `version ${version} was served after ${newest?.version}`
            : undefined;
    },
    [CheckKind.NoRunAfterDisconnect](call, runs, history) {
        const late = runs
            .map(run => ({ run, lateMs: earliestArrival(run) - call.endedAt }))
            .find(({ lateMs }) => call.hasLeft && lateMs > disconnectToleranceMs);
        // A daemon cannot recall bytes that a relay is holding.
        return late === undefined || wasDisrupted(call, late.run, history)
            ? undefined
            : `reached ${late.run.server} ${late.lateMs} ms after its caller had disconnected`;
    },
    [CheckKind.NoCallCutByShutdown](call, runs, history) {
        const isCut = call.error !== undefined || call.status === outcomeUnknownStatus;
        const isPastDeadline = call.endedAt - call.sentAt >= call.deadlineMs - deadlineMarginMs;
        if (!isCut || isPastDeadline || runs.length === 0) {
            return undefined;
        }
        const daemons = [call, ...runs].flatMap(({ host }) => daemonsDuring(history, host, call));
        const signals = daemons.flatMap(life => life.signals);
        const sigterm = signals.find(({ name, at }) => name === "SIGTERM" && at <= call.endedAt);
        // The guarantee does not cover a process that was also paused or killed.
        const isOnlySigterm = signals.every(({ name }) => name === "SIGTERM");
        // The daemon is not responsible for failures of the backend server or of a connection to it.
        const isOtherFault = runs.some(
            run =>
                wasServerFaulty(run, history) ||
                wasDisrupted(call, run, history) ||
                wasServerPausedOrEnded(call, run, history),
        );
        return sigterm !== undefined && isOnlySigterm && !isOtherFault
            ? `${call.error ?? call.status}, ${call.endedAt - sigterm.at} ms after a daemon on its path got SIGTERM`
            : undefined;
    },
};

/** Returns the processes of the host's daemon that ran during a call. */
function daemonsDuring(
    { board }: History,
    host: number,
    { sentAt, endedAt }: Call,
): readonly DaemonProcess[] {
    const processes = board.read("daemons").filter(life => life.host === host && life.startedAt <= endedAt);
    return processes.filter(({ endedAt: end = Infinity }) => end >= sentAt);
}

/** Whether the backend server of a run sent a faulty response within the window around that run. */
function wasServerFaulty({ life, startedAt }: Run, { runs }: History): boolean {
    return [...runs.values()]
        .flat()
        .some(
            run =>
                run.life === life &&
                run.mode !== AnswerMode.Complete &&
                Math.abs(startedAt - run.startedAt) < faultyAnswerWindowMs,
        );
}

/** Returns the earliest possible arrival of a call at its backend server, whose process may have stalled since. */
function earliestArrival({ startedAt, stalledMs, relaysStalledMs }: Run): number {
    return startedAt - stalledMs - relaysStalledMs;
}

/** Whether a relay in front of the run's daemon or backend server disrupted connections during the call. */
function wasDisrupted(call: Call, { host, addressHost, startedAt }: Run, { board }: History): boolean {
    const hosts: Readonly<Record<Link, number | undefined>> = {
        [Link.Peer]: host,
        [Link.Server]: addressHost,
        [Link.Store]: undefined,
    };
    return board
        .read("disruptions")
        .some(
            disruption =>
                hosts[disruption.link] === disruption.host &&
                disruption.from <= Math.max(startedAt, call.endedAt) &&
                disruption.to >= call.sentAt,
        );
}

/** Whether the backend server of a run was paused, killed or stopped during the call. */
function wasServerPausedOrEnded(call: Call, run: Run, { board }: History): boolean {
    const { signals = [] } = board.read("servers").find(({ life }) => life === run.life) ?? {};
    return wasPausedOrEnded(signals, call.sentAt, Math.max(run.startedAt, call.endedAt));
}

/** Whether a signal paused or ended the process between these times. */
function wasPausedOrEnded(signals: readonly SentSignal[], from: number, to: number): boolean {
    return signals.some(({ name, at }, index) => {
        const resumed = signals.slice(index + 1).find(later => later.name === "SIGCONT")?.at ?? Infinity;
        const until = name === "SIGSTOP" ? resumed : at;
        return name !== "SIGCONT" && at <= to && until >= from;
    });
}

type RunCheck = (run: Run, history: History) => string | undefined;

export const runChecks: { readonly [K in CheckKind]?: RunCheck } = {
    [CheckKind.NoRunAfterDrain](run, { board }) {
        const { leftAt } = board.read("servers").find(({ life }) => life === run.life) ?? {};
        return leftAt !== undefined && earliestArrival(run) > leftAt + drainTimeoutMs
            ? `began at ${run.server} ${earliestArrival(run) - leftAt} ms after its departure was acknowledged`
            : undefined;
    },
    [CheckKind.OwnService]: ({ url, service, server }) =>
        /^\/v\d/.test(url) || url.split("/")[1]?.endsWith(`-${service}`)
            ? undefined
            : `${url} ran at ${server} of ${service}`,
};

type DaemonCheck = (life: DaemonProcess, history: History) => string | undefined;

export const daemonChecks: { readonly [K in CheckKind]?: DaemonCheck } = {
    [CheckKind.DaemonStaysUp]({ exit, signals, host, startedAt, endedAt = 0 }, { calls }) {
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
        // Until the daemon has installed its signal handler, SIGTERM ends the process directly.
        const wasStopped = wasAsked && (exit.code === 0 || (exit.signal === "SIGTERM" && !hasAnswered));
        return wasKilled || wasStopped
            ? undefined
            : `exited with ${exit.code ?? exit.signal} without being stopped`;
    },
};
