import { maxSnapshotsInProgress, maxSnapshotsWaiting, snapshotDeadlineMs } from "../constants.js";
import { MessageKind, type Part, type PeerMessage } from "../messages/peerMessage.js";
import { EventLevel } from "../telemetry/event.js";
import { partsOfSteps, stepsSince } from "./updateLog.js";
import { heldVersion, Spread, type Context, type Distribution } from "./state.js";

/** Sends the version that was just applied to the linked hosts that are behind, as an update or an announcement. */
export function propagateHeldVersion(state: Distribution, context: Context): Distribution {
    const version = heldVersion(state);
    const hostsByBase = new Map<number, string[]>();
    for (const link of state.links.values()) {
        const peerVersion = state.peerVersions.get(link.host) ?? -1;
        if (peerVersion < version) {
            const isPushed =
                pushesUpdate[state.spread](state, link.region) && hasStepsSince(state, peerVersion);
            const base = isPushed ? peerVersion : -1;
            hostsByBase.set(base, [...(hostsByBase.get(base) ?? []), link.host]);
        }
    }
    for (const [base, hosts] of hostsByBase) {
        const message = base < 0 ? announceMessage(state) : updateMessage(state, base);
        hosts.forEach(host => context.effects.messages.push({ to: { host }, message }));
    }
    const updatedHosts = [...hostsByBase].flatMap(([base, hosts]) => (base < 0 ? [] : hosts));
    return {
        ...state,
        peerVersions: new Map([...state.peerVersions, ...updatedHosts.map(host => [host, version] as const)]),
    };
}

const pushesUpdate = {
    [Spread.Eager]: (state: Distribution, region: string) => region === state.region,
    [Spread.Lazy]: () => false,
} satisfies Record<Spread, (state: Distribution, region: string) => boolean>;

function hasStepsSince(state: Distribution, version: number): boolean {
    return stepsSince(state.updateLog, version) !== undefined;
}

function announceMessage(state: Distribution): PeerMessage {
    const manifestHash = state.held?.manifestHash ?? "";
    return { kind: MessageKind.Announce, version: heldVersion(state), manifestHash };
}

function updateMessage(state: Distribution, base: number): PeerMessage {
    const steps = stepsSince(state.updateLog, base) ?? [];
    const availableParts = new Map([...(state.held?.parts ?? []), ...state.updateLog.parts]);
    return { kind: MessageKind.Update, steps, parts: partsOfSteps(steps, availableParts) };
}

/**
 * Answers a pull with logged steps, or with a snapshot if the log does not reach back far enough. If this host is not
 * ahead of the peer, it announces its own version, so that the peer tries another source.
 * A snapshot beyond the concurrency limit is queued, and refused when the queue is full.
 */
export function answerPull(state: Distribution, context: Context, from: string, held: number): Distribution {
    const send = (message: PeerMessage) => context.effects.messages.push({ to: { host: from }, message });
    if (held >= heldVersion(state)) {
        send(announceMessage(state));
        return state;
    }
    if (hasStepsSince(state, held)) {
        send(updateMessage(state, held));
        return state.links.has(from)
            ? { ...state, peerVersions: new Map(state.peerVersions).set(from, heldVersion(state)) }
            : state;
    }
    if (state.snapshotsInProgress.size < maxSnapshotsInProgress || state.snapshotsInProgress.has(from)) {
        return sendSnapshot(state, context, from);
    }
    const isRefused = state.queuedSnapshots.size >= maxSnapshotsWaiting && !state.queuedSnapshots.has(from);
    context.effects.events.push({
        name: isRefused ? "configuration.snapshotRefused" : "configuration.snapshotDelayed",
        level: EventLevel.Warn,
        fields: {
            host: from,
            inProgress: state.snapshotsInProgress.size,
            waiting: state.queuedSnapshots.size,
        },
    });
    return isRefused ? state : { ...state, queuedSnapshots: new Set([...state.queuedSnapshots, from]) };
}

/** Sends a snapshot with the manifest only; the receiver requests the parts that it needs and does not hold. */
function sendSnapshot(state: Distribution, context: Context, host: string): Distribution {
    if (state.held === undefined) {
        return state;
    }
    const { manifest, manifestHash } = state.held;
    const message = { kind: MessageKind.Snapshot, manifest, manifestHash, parts: [] };
    context.effects.messages.push({ to: { host }, message });
    const queuedSnapshots = new Set([...state.queuedSnapshots].filter(other => other !== host));
    return {
        ...state,
        queuedSnapshots: queuedSnapshots,
        snapshotsInProgress: new Map(state.snapshotsInProgress).set(host, context.now),
    };
}

/** Removes snapshots that were confirmed, timed out or lost their link, and starts queued ones. */
export function serveQueuedSnapshots(state: Distribution, context: Context): Distribution {
    if (state.snapshotsInProgress.size === 0 && state.queuedSnapshots.size === 0) {
        return state;
    }
    const isBehind = (host: string) =>
        state.links.has(host) && (state.peerVersions.get(host) ?? 0) < heldVersion(state);
    const inProgress = [...state.snapshotsInProgress].filter(
        ([host, startedAt]) => isBehind(host) && context.now < startedAt + snapshotDeadlineMs,
    );
    const queued = [...state.queuedSnapshots].filter(isBehind);
    const freeSlots = Math.max(0, maxSnapshotsInProgress - inProgress.length);
    const next: Distribution = {
        ...state,
        snapshotsInProgress: new Map(inProgress),
        queuedSnapshots: new Set(queued),
    };
    return queued
        .slice(0, freeSlots)
        .reduce<Distribution>((current, host) => sendSnapshot(current, context, host), next);
}

export function answerPartRequest(
    state: Distribution,
    context: Context,
    from: string,
    hashes: readonly string[],
): void {
    const parts: Part[] = [];
    const missing: string[] = [];
    for (const hash of hashes) {
        const bytes =
            state.held?.parts.get(hash) ??
            state.updateLog.parts.get(hash) ??
            state.candidate?.parts.get(hash);
        if (bytes === undefined) {
            missing.push(hash);
        } else {
            parts.push({ hash, bytes });
        }
    }
    context.effects.messages.push({
        to: { host: from },
        message: { kind: MessageKind.Parts, parts, missing },
    });
}
