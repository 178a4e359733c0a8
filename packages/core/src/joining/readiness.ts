import {
    bufferedMessageWindowMs,
    confirmationDeadlineMs,
    joiningDeadlineMs,
    longestPauseMs,
    peerAnswerGraceMs,
    peerAnswersDeadlineMs,
    watermarkRetryMs,
} from "../constants.js";
import type { Watermark } from "../messages/peerMessage.js";
import type { Head } from "../revision/head.js";

export const ReadinessState = {
    /** Started, but not known to hold a version that is recent enough. */
    Joining: "joining",
    Ready: "ready",
    /** Resumed after a pause and has not confirmed its version yet. */
    Fenced: "fenced",
    /** Shutting down: calls in flight finish and no new ones are admitted. */
    Draining: "draining",
} as const;
export type ReadinessState = (typeof ReadinessState)[keyof typeof ReadinessState];

export interface Readiness {
    readonly state: ReadinessState;
    readonly reason: string;
    /** Lowest version that this host may serve. */
    readonly floor: number;
    /** Milliseconds since the epoch. */
    readonly since: number;
}

/** Inputs of the decision from the rest of the daemon. Times are in milliseconds since the epoch. */
export interface ReadinessFacts {
    readonly now: number;
    /** Length of the pause that ended at this tick, in milliseconds; 0 if there was none. */
    readonly pausedForMs: number;
    /** Version of the configuration that this host holds. */
    readonly held: number;
    /** Newest servable version of the head row; `undefined` if the row has not been read or does not exist. */
    readonly head: number | undefined;
    /** Time at which the last successful read of the head row was sent. */
    readonly headAskedAt: number | undefined;
    readonly reachable: boolean;
    readonly linkedHosts: readonly string[];
    /** Whether addresses of other hosts are known. */
    readonly expectsPeers: boolean;
    readonly shutdownRequested: boolean;
}

/** State of the readiness decision, kept between evaluations. */
export interface JoinProgress {
    readonly readiness: Readiness;
    readonly startedAt: number;
    /**
     * Highest version that a peer has seen this host hold. It remains a lower limit even after the joining deadline, so
     * that the host never returns to an older version.
     */
    readonly ownWatermark: number;
    /** Highest version that any peer holds. */
    readonly highestPeerVersion: number;
    /** Hosts that have answered a watermark request. */
    readonly answeredBy: ReadonlySet<string>;
    /** Time since which this host has had at least one link; `undefined` if it has none. */
    readonly linkedAt: number | undefined;
    /** Time of the last watermark request to each peer. */
    readonly askedAt: ReadonlyMap<string, number>;
    /** Time at which the last long pause ended. */
    readonly resumedAt: number;
    /** Highest version reported since the pause, which confirms a host that holds it; `undefined` before any report. */
    readonly confirmation: number | undefined;
}

/**
 * Returns the newest accepted version that this host has not rejected. A rejected head must not become the floor, because
 * no host ever holds it.
 */
export function servableVersion(head: Head, rejectedHashes: readonly string[]): number {
    const servable = head.history.find(change => !rejectedHashes.includes(change.manifestHash));
    return servable?.version ?? 0;
}

export function startJoining(now: number): JoinProgress {
    return {
        readiness: { state: ReadinessState.Joining, reason: "starting", floor: 0, since: now },
        startedAt: now,
        ownWatermark: 0,
        highestPeerVersion: 0,
        answeredBy: new Set(),
        linkedAt: undefined,
        askedAt: new Map(),
        resumedAt: 0,
        confirmation: undefined,
    };
}

/** Records a peer's answer about this host. */
export function recordWatermark(
    joining: JoinProgress,
    from: string,
    answer: Watermark,
    receivedAt: number,
): JoinProgress {
    const updated = {
        ...joining,
        ownWatermark: Math.max(joining.ownWatermark, answer.version),
        highestPeerVersion: Math.max(joining.highestPeerVersion, answer.held),
        answeredBy: new Set([...joining.answeredBy, from]),
    };
    return recordConfirmation(updated, answer.held, receivedAt);
}

/**
 * Records the version that a peer holds, from its heartbeat or announcement. A starting host treats it like an answer of
 * that peer, because the peer may have received the version after it answered.
 */
export function recordPeerVersion(joining: JoinProgress, version: number, receivedAt: number): JoinProgress {
    const updated =
        version > joining.highestPeerVersion ? { ...joining, highestPeerVersion: version } : joining;
    return recordConfirmation(updated, version, receivedAt);
}

/** Records a version reported by a peer, against which the held version is confirmed after a pause. */
export function recordConfirmation(joining: JoinProgress, version: number, receivedAt: number): JoinProgress {
    return receivedAt >= joining.resumedAt + bufferedMessageWindowMs ? confirm(joining, version) : joining;
}

/**
 * Records the version of the head row like one of a peer, if it was asked for after the pause. The time of reading says
 * nothing, because the answer may have waited for a whole turn of the event loop.
 */
function recordHeadConfirmation(
    joining: JoinProgress,
    { head = 0, headAskedAt }: ReadinessFacts,
): JoinProgress {
    return headAskedAt !== undefined && headAskedAt >= joining.resumedAt ? confirm(joining, head) : joining;
}

function confirm(joining: JoinProgress, version: number): JoinProgress {
    return joining.readiness.state === ReadinessState.Fenced
        ? { ...joining, confirmation: Math.max(joining.confirmation ?? 0, version) }
        : joining;
}

/** Evaluates the readiness of the host from the current facts. */
export function decideReadiness(joining: JoinProgress, facts: ReadinessFacts): JoinProgress {
    const current = updateLinks(applyPause(joining, facts), facts);
    const confirmed = recordHeadConfirmation(current, facts);
    const previousState = confirmed.readiness.state;
    const decision = facts.shutdownRequested
        ? { state: ReadinessState.Draining, reason: "a shutdown was requested" }
        : decisionByState[previousState](confirmed, facts);
    // After the host was ready, newer versions no longer raise the floor, because it never returns to an older one.
    const floor =
        previousState === ReadinessState.Joining ? floorOf(confirmed, facts) : confirmed.readiness.floor;
    const { readiness } = confirmed;
    if (
        decision.state === readiness.state &&
        decision.reason === readiness.reason &&
        floor === readiness.floor
    ) {
        return confirmed;
    }
    const since = decision.state === readiness.state ? readiness.since : facts.now;
    return { ...confirmed, readiness: { ...decision, floor, since } };
}

function applyPause(joining: JoinProgress, facts: ReadinessFacts): JoinProgress {
    const { state } = joining.readiness;
    const serves = state === ReadinessState.Ready || state === ReadinessState.Fenced;
    if (!serves || facts.pausedForMs <= longestPauseMs || facts.now <= joining.resumedAt) {
        return joining;
    }
    const reason = `paused for ${facts.pausedForMs} ms`;
    const readiness = { ...joining.readiness, state: ReadinessState.Fenced, reason, since: facts.now };
    return { ...joining, readiness, resumedAt: facts.now, confirmation: undefined, askedAt: new Map() };
}

function updateLinks(joining: JoinProgress, { linkedHosts, now }: ReadinessFacts): JoinProgress {
    const linkedAt = linkedHosts.length > 0 ? (joining.linkedAt ?? now) : undefined;
    return linkedAt === joining.linkedAt ? joining : { ...joining, linkedAt };
}

function floorOf(joining: JoinProgress, facts: ReadinessFacts): number {
    return isBeforeDeadline(joining, facts)
        ? Math.max(facts.head ?? 0, joining.ownWatermark, joining.highestPeerVersion)
        : joining.ownWatermark;
}

/** Whether the host still waits for the versions that the head row and its peers reported. */
function isBeforeDeadline(joining: JoinProgress, facts: ReadinessFacts): boolean {
    return facts.now < joining.startedAt + joiningDeadlineMs;
}

interface Decision {
    readonly state: ReadinessState;
    readonly reason: string;
}

const decisionByState = {
    [ReadinessState.Joining]: decideJoining,
    [ReadinessState.Ready]: (joining: JoinProgress) => joining.readiness,
    [ReadinessState.Fenced]: decideFenced,
    [ReadinessState.Draining]: (joining: JoinProgress) => joining.readiness,
} satisfies Record<ReadinessState, (joining: JoinProgress, facts: ReadinessFacts) => Decision>;

function decideJoining(joining: JoinProgress, facts: ReadinessFacts): Decision {
    const remainJoining = (reason: string): Decision => ({ state: ReadinessState.Joining, reason });
    const admit = (reason: string): Decision => ({ state: ReadinessState.Ready, reason });
    const floor = floorOf(joining, facts);
    if (facts.held === 0 || facts.held < floor) {
        return remainJoining(`holds version ${facts.held}, floor ${floor}`);
    }
    if (!isBeforeDeadline(joining, facts)) {
        return admit(`no newer version was found within ${joiningDeadlineMs} ms`);
    }
    if (facts.head !== undefined) {
        return arePeersConsulted(joining, facts)
            ? admit("holds the version of the head row")
            : remainJoining("waiting for answers from peers");
    }
    const elapsed = facts.now - joining.startedAt;
    const reliesOnPeers = !facts.reachable && joining.answeredBy.size > 0;
    const answerWaitMs = haveEnoughAnswered(joining, facts) ? peerAnswerGraceMs : peerAnswersDeadlineMs;
    return reliesOnPeers && elapsed >= answerWaitMs
        ? admit("holds the version of its peers; the platform is unreachable")
        : remainJoining("the head row has not been read");
}

/**
 * Whether the peers had the opportunity to report a higher version than the head row, whose read may be stale. Answers
 * of peers that hold no version do not count: after a complete power loss all peers start at once, and they depend on
 * the head row as well.
 */
function arePeersConsulted(joining: JoinProgress, facts: ReadinessFacts): boolean {
    const haveInformedPeersAnswered =
        joining.highestPeerVersion > 0 && facts.linkedHosts.length > 0 && allAnswered(joining, facts);
    return haveInformedPeersAnswered || facts.now >= peerAnswersDeadline(joining, facts);
}

function peerAnswersDeadline(
    { answeredBy, linkedAt, highestPeerVersion, startedAt }: JoinProgress,
    facts: ReadinessFacts,
): number {
    const longest = startedAt + peerAnswersDeadlineMs;
    if (linkedAt === undefined) {
        return facts.expectsPeers ? longest : startedAt + peerAnswerGraceMs;
    }
    const peersAreStarting = answeredBy.size > 0 && highestPeerVersion === 0;
    return peersAreStarting ? longest : Math.min(linkedAt + peerAnswerGraceMs, longest);
}

/** Whether several peers are linked and all of them have answered, so that no further answers are expected. */
function haveEnoughAnswered(joining: JoinProgress, facts: ReadinessFacts): boolean {
    return facts.linkedHosts.length >= minLinkedPeers && allAnswered(joining, facts);
}

function allAnswered(joining: JoinProgress, facts: ReadinessFacts): boolean {
    return facts.linkedHosts.every(host => joining.answeredBy.has(host));
}

/** Minimum number of linked peers whose answers suffice; a single peer may itself hold an old version. */
const minLinkedPeers = 2;

function decideFenced(joining: JoinProgress, facts: ReadinessFacts): Decision {
    if (joining.confirmation !== undefined && facts.held >= joining.confirmation) {
        return { state: ReadinessState.Ready, reason: "the version was confirmed after the pause" };
    }
    return facts.now >= joining.resumedAt + confirmationDeadlineMs
        ? { state: ReadinessState.Ready, reason: "the version was not confirmed in time after the pause" }
        : { state: ReadinessState.Fenced, reason: joining.readiness.reason };
}

/** Returns the linked hosts to send a watermark request to now, and the state in which these requests are recorded. */
export function hostsToAsk(
    joining: JoinProgress,
    facts: ReadinessFacts,
): { joining: JoinProgress; hosts: readonly string[] } {
    const mayAsk = askFilterByState[joining.readiness.state](joining, facts);
    const hosts = facts.linkedHosts.filter(
        host => mayAsk(host) && facts.now >= (joining.askedAt.get(host) ?? -Infinity) + watermarkRetryMs,
    );
    if (hosts.length === 0) {
        return { joining, hosts };
    }
    const askedAt = new Map([...joining.askedAt, ...hosts.map(host => [host, facts.now] as const)]);
    return { joining: { ...joining, askedAt }, hosts };
}

const askNobody = () => false;

const askFilterByState = {
    [ReadinessState.Joining]: joining => host => !joining.answeredBy.has(host),
    // An answer that was in flight before the pause must not be mistaken for an answer to this request.
    [ReadinessState.Fenced]: (joining, facts) => () =>
        facts.now >= joining.resumedAt + bufferedMessageWindowMs,
    [ReadinessState.Ready]: () => askNobody,
    [ReadinessState.Draining]: () => askNobody,
} satisfies Record<
    ReadinessState,
    (joining: JoinProgress, facts: ReadinessFacts) => (host: string) => boolean
>;
