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
    /** Not yet known to hold a version that is current enough. */
    Joining: "joining",
    Ready: "ready",
    /** Woke after a pause and has not confirmed its version yet. */
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

/** What the decision depends on and the rest of the daemon knows. Times are milliseconds since the epoch. */
export interface ReadinessFacts {
    readonly now: number;
    /** Length of the pause that ended at this tick, 0 without one. */
    readonly pausedForMs: number;
    readonly held: number;
    /** Version of the head row that can be served, `undefined` while it was not read or does not exist. */
    readonly head: number | undefined;
    /** Time of the last read of the head row that was answered. */
    readonly headReadAt: number | undefined;
    readonly reachable: boolean;
    readonly linkedHosts: readonly string[];
    /** Whether addresses are known at which other hosts may be. */
    readonly expectsPeers: boolean;
    readonly shutdownRequested: boolean;
}

/** State of the decision between two inputs. */
export interface Joining {
    readonly readiness: Readiness;
    readonly startedAt: number;
    /** Highest version that a peer saw this host hold. Never waived, so that the host does not go back. */
    readonly ownWatermark: number;
    /** Highest version that a peer holds. */
    readonly peersHeld: number;
    readonly answeredBy: ReadonlySet<string>;
    /** Time since which this host has had a link; `undefined` without one. */
    readonly linkedAt: number | undefined;
    /** Time of the last request to each peer. */
    readonly askedAt: ReadonlyMap<string, number>;
    /** End of the last long pause. */
    readonly resumedAt: number;
    /** Lowest version that confirms the held one after the pause; `undefined` before any word of it. */
    readonly confirmation: number | undefined;
}

/**
 * Newest accepted version that this host has not refused. A refused head must not be a floor, because no host
 * ever holds it.
 */
export function servableVersion(head: Head, rejectedHashes: readonly string[]): number {
    const servable = head.history.find(change => !rejectedHashes.includes(change.manifestHash));
    return servable?.version ?? 0;
}

export function startJoining(now: number): Joining {
    return {
        readiness: { state: ReadinessState.Joining, reason: "starting", floor: 0, since: now },
        startedAt: now,
        ownWatermark: 0,
        peersHeld: 0,
        answeredBy: new Set(),
        linkedAt: undefined,
        askedAt: new Map(),
        resumedAt: 0,
        confirmation: undefined,
    };
}

/** Takes a peer's answer about this host. */
export function takeWatermark(
    joining: Joining,
    from: string,
    answer: Watermark,
    receivedAt: number,
): Joining {
    const noted = {
        ...joining,
        ownWatermark: Math.max(joining.ownWatermark, answer.version),
        peersHeld: Math.max(joining.peersHeld, answer.held),
        answeredBy: new Set([...joining.answeredBy, from]),
    };
    return takeConfirmation(noted, answer.held, receivedAt);
}

/**
 * Takes the version that a peer holds, from its heartbeat or announcement. A starting host counts it like an answer of
 * that peer, because the peer may have learned the version after it answered.
 */
export function takePeerVersion(joining: Joining, version: number, receivedAt: number): Joining {
    const noted = version > joining.peersHeld ? { ...joining, peersHeld: version } : joining;
    return takeConfirmation(noted, version, receivedAt);
}

/** Takes the version that a peer or the head row reported, which confirms the held version after a pause. */
export function takeConfirmation(joining: Joining, version: number, receivedAt: number): Joining {
    const isFresh = receivedAt >= joining.resumedAt + bufferedMessageWindowMs;
    return joining.readiness.state === ReadinessState.Fenced && isFresh
        ? { ...joining, confirmation: Math.max(joining.confirmation ?? 0, version) }
        : joining;
}

/** Decides anew from the current facts. */
export function decideReadiness(joining: Joining, facts: ReadinessFacts): Joining {
    const resumed = noteLinks(notePause(joining, facts), facts);
    const confirmed =
        facts.headReadAt === undefined
            ? resumed
            : takeConfirmation(resumed, facts.head ?? 0, facts.headReadAt);
    const from = confirmed.readiness.state;
    const decision = facts.shutdownRequested
        ? { state: ReadinessState.Draining, reason: "shutdown was requested" }
        : decisions[from](confirmed, facts);
    // Once the host was ready, newer versions no longer raise the floor: it never goes back anyway.
    const floor = from === ReadinessState.Joining ? floorOf(confirmed, facts) : confirmed.readiness.floor;
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

function notePause(joining: Joining, facts: ReadinessFacts): Joining {
    const { state } = joining.readiness;
    const serves = state === ReadinessState.Ready || state === ReadinessState.Fenced;
    if (!serves || facts.pausedForMs <= longestPauseMs || facts.now <= joining.resumedAt) {
        return joining;
    }
    const reason = `paused for ${facts.pausedForMs} ms`;
    const readiness = { ...joining.readiness, state: ReadinessState.Fenced, reason, since: facts.now };
    return { ...joining, readiness, resumedAt: facts.now, confirmation: undefined, askedAt: new Map() };
}

function noteLinks(joining: Joining, { linkedHosts, now }: ReadinessFacts): Joining {
    const linkedAt = linkedHosts.length > 0 ? (joining.linkedAt ?? now) : undefined;
    return linkedAt === joining.linkedAt ? joining : { ...joining, linkedAt };
}

function floorOf(joining: Joining, facts: ReadinessFacts): number {
    return isPatient(joining, facts)
        ? Math.max(facts.head ?? 0, joining.ownWatermark, joining.peersHeld)
        : joining.ownWatermark;
}

/** Whether the host still waits for the versions that the head row and its peers named. */
function isPatient(joining: Joining, facts: ReadinessFacts): boolean {
    return facts.now < joining.startedAt + joiningDeadlineMs;
}

interface Decision {
    readonly state: ReadinessState;
    readonly reason: string;
}

const decisions = {
    [ReadinessState.Joining]: decideJoining,
    [ReadinessState.Ready]: (joining: Joining) => joining.readiness,
    [ReadinessState.Fenced]: decideFenced,
    [ReadinessState.Draining]: (joining: Joining) => joining.readiness,
} satisfies Record<ReadinessState, (joining: Joining, facts: ReadinessFacts) => Decision>;

function decideJoining(joining: Joining, facts: ReadinessFacts): Decision {
    const wait = (reason: string): Decision => ({ state: ReadinessState.Joining, reason });
    const admit = (reason: string): Decision => ({ state: ReadinessState.Ready, reason });
    const floor = floorOf(joining, facts);
    if (facts.held === 0 || facts.held < floor) {
        return wait(`holds version ${facts.held}, floor ${floor}`);
    }
    if (!isPatient(joining, facts)) {
        return admit(`no newer version was found in ${joiningDeadlineMs} ms`);
    }
    if (facts.head !== undefined) {
        return peersHadTime(joining, facts)
            ? admit("holds the version of the head row")
            : wait("waits for the peers' answers");
    }
    const elapsed = facts.now - joining.startedAt;
    const isPeerAlone = !facts.reachable && joining.answeredBy.size > 0;
    const patienceMs = haveAllAnswered(joining, facts) ? peerAnswerGraceMs : peerAnswersDeadlineMs;
    return isPeerAlone && elapsed >= patienceMs
        ? admit("holds the version of its peers; the platform is unreachable")
        : wait("the head row was not read");
}

/**
 * A read of the head row may be stale, so the peers get a short time to report a higher version. Answers of peers that
 * hold nothing say nothing: after a loss of power everywhere all peers start at once, and read the head row as well.
 */
function peersHadTime(joining: Joining, facts: ReadinessFacts): boolean {
    const isInformed = joining.peersHeld > 0 && facts.linkedHosts.length > 0 && allAnswered(joining, facts);
    return isInformed || facts.now >= peersDeadline(joining, facts);
}

function peersDeadline(
    { answeredBy, linkedAt, peersHeld, startedAt }: Joining,
    facts: ReadinessFacts,
): number {
    const longest = startedAt + peerAnswersDeadlineMs;
    if (linkedAt === undefined) {
        return facts.expectsPeers ? longest : startedAt + peerAnswerGraceMs;
    }
    const areStarting = answeredBy.size > 0 && peersHeld === 0;
    return areStarting ? longest : Math.min(linkedAt + peerAnswerGraceMs, longest);
}

/** With several peers that all answered, there is nobody left to wait for. */
function haveAllAnswered(joining: Joining, facts: ReadinessFacts): boolean {
    return facts.linkedHosts.length >= enoughPeers && allAnswered(joining, facts);
}

function allAnswered(joining: Joining, facts: ReadinessFacts): boolean {
    return facts.linkedHosts.every(host => joining.answeredBy.has(host));
}

/** Links that a host with neighbours has; a single peer may itself be behind. */
const enoughPeers = 2;

function decideFenced(joining: Joining, facts: ReadinessFacts): Decision {
    if (joining.confirmation !== undefined && facts.held >= joining.confirmation) {
        return { state: ReadinessState.Ready, reason: "the version was confirmed after the pause" };
    }
    return facts.now >= joining.resumedAt + confirmationDeadlineMs
        ? { state: ReadinessState.Ready, reason: "no confirmation arrived after the pause" }
        : { state: ReadinessState.Fenced, reason: joining.readiness.reason };
}

/** Linked hosts to ask for their watermark now, and the state that remembers it. */
export function hostsToAsk(
    joining: Joining,
    facts: ReadinessFacts,
): { joining: Joining; hosts: readonly string[] } {
    const mayAsk = asksBy[joining.readiness.state](joining, facts);
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

const asksBy = {
    [ReadinessState.Joining]: joining => host => !joining.answeredBy.has(host),
    // An answer that was in flight before the pause must not be taken for one to this request.
    [ReadinessState.Fenced]: (joining, facts) => () =>
        facts.now >= joining.resumedAt + bufferedMessageWindowMs,
    [ReadinessState.Ready]: () => askNobody,
    [ReadinessState.Draining]: () => askNobody,
} satisfies Record<ReadinessState, (joining: Joining, facts: ReadinessFacts) => (host: string) => boolean>;
