import { maxSnapshotsInProgress, maxSnapshotsWaiting, snapshotDeadlineMs } from "../constants.js";
import { MessageKind, type Part, type PeerMessage } from "../messages/peerMessage.js";
import { EventLevel } from "../telemetry/event.js";
import { chainFrom, partsOfChain } from "./keptSteps.js";
import { heldVersion, Spread, type Context, type Distribution } from "./state.js";

/** Tells the linked hosts of a version that was just put in force. */
export function spreadHeld(state: Distribution, context: Context): Distribution {
    const version = heldVersion(state);
    const groups = new Map<number, string[]>();
    for (const link of state.links.values()) {
        const known = state.known.get(link.host) ?? -1;
        if (known < version) {
            const pushed = spreadsUpdate[state.spread](state, link.region) && isInChain(state, known);
            const base = pushed ? known : -1;
            groups.set(base, [...(groups.get(base) ?? []), link.host]);
        }
    }
    for (const [base, hosts] of groups) {
        const message = base < 0 ? announceHeld(state) : updateFrom(state, base);
        hosts.forEach(host => context.effects.messages.push({ to: { host }, message }));
    }
    const pushed = [...groups].flatMap(([base, hosts]) => (base < 0 ? [] : hosts));
    return { ...state, known: new Map([...state.known, ...pushed.map(host => [host, version] as const)]) };
}

const spreadsUpdate = {
    [Spread.Eager]: (state: Distribution, region: string) => region === state.region,
    [Spread.Lazy]: () => false,
} satisfies Record<Spread, (state: Distribution, region: string) => boolean>;

function isInChain(state: Distribution, version: number): boolean {
    return chainFrom(state.kept, version) !== undefined;
}

function announceHeld(state: Distribution): PeerMessage {
    const manifestHash = state.held?.manifestHash ?? "";
    return { kind: MessageKind.Announce, version: heldVersion(state), manifestHash };
}

function updateFrom(state: Distribution, base: number): PeerMessage {
    const steps = chainFrom(state.kept, base) ?? [];
    const known = new Map([...(state.held?.parts ?? []), ...state.kept.parts]);
    return { kind: MessageKind.Update, steps, parts: partsOfChain(steps, known) };
}

/** Answers a pull: a chain, else a snapshot, else what this host holds so that the peer asks elsewhere. */
export function answerPull(state: Distribution, context: Context, from: string, held: number): Distribution {
    const send = (message: PeerMessage) => context.effects.messages.push({ to: { host: from }, message });
    if (held >= heldVersion(state)) {
        send(announceHeld(state));
        return state;
    }
    if (isInChain(state, held)) {
        send(updateFrom(state, held));
        return state.links.has(from)
            ? { ...state, known: new Map(state.known).set(from, heldVersion(state)) }
            : state;
    }
    if (state.snapshots.size < maxSnapshotsInProgress || state.snapshots.has(from)) {
        return sendSnapshot(state, context, from);
    }
    const refused = state.waitingSnapshots.size >= maxSnapshotsWaiting && !state.waitingSnapshots.has(from);
    context.effects.events.push({
        name: refused ? "configuration.snapshotRefused" : "configuration.snapshotDelayed",
        level: EventLevel.Warn,
        fields: { host: from, inProgress: state.snapshots.size, waiting: state.waitingSnapshots.size },
    });
    return refused ? state : { ...state, waitingSnapshots: new Set([...state.waitingSnapshots, from]) };
}

/** A snapshot carries the manifest alone; the receiver asks for the parts that it needs and lacks. */
function sendSnapshot(state: Distribution, context: Context, host: string): Distribution {
    if (state.held === undefined) {
        return state;
    }
    const { manifest, manifestHash } = state.held;
    const message = { kind: MessageKind.Snapshot, manifest, manifestHash, parts: [] };
    context.effects.messages.push({ to: { host }, message });
    const waitingSnapshots = new Set([...state.waitingSnapshots].filter(other => other !== host));
    return { ...state, waitingSnapshots, snapshots: new Map(state.snapshots).set(host, context.now) };
}

/** Ends snapshots that arrived, expired or lost their link, and starts waiting ones. */
export function serveWaiting(state: Distribution, context: Context): Distribution {
    if (state.snapshots.size === 0 && state.waitingSnapshots.size === 0) {
        return state;
    }
    const isBehind = (host: string) =>
        state.links.has(host) && (state.known.get(host) ?? 0) < heldVersion(state);
    const running = [...state.snapshots].filter(
        ([host, startedAt]) => isBehind(host) && context.now < startedAt + snapshotDeadlineMs,
    );
    const waiting = [...state.waitingSnapshots].filter(isBehind);
    const free = Math.max(0, maxSnapshotsInProgress - running.length);
    const next: Distribution = { ...state, snapshots: new Map(running), waitingSnapshots: new Set(waiting) };
    return waiting
        .slice(0, free)
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
            state.held?.parts.get(hash) ?? state.kept.parts.get(hash) ?? state.candidate?.parts.get(hash);
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
